package org.ibissaddle.proof.requests;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;

/** A caller of streamed answers that goes on through other instances when its own is lost. */
final class StreamCaller {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_TRIES = 12;
    private static final long RETRY_MS = 100;

    private final Cluster cluster;
    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .retryOnConnectionFailure(false)
            .connectTimeout(1, TimeUnit.SECONDS)
            .readTimeout(4, TimeUnit.SECONDS)
            .build();

    StreamCaller(Cluster cluster) {
        this.cluster = cluster;
    }

    /** How an answer ended. */
    record Ended(String text, boolean clean, Optional<String> error, int resumes) {}

    /** Calls until the answer ends, cleanly or with an explicit error, or no try is left. */
    Ended call(String prompt, int words, Random random) {
        Reading reading = new Reading();
        List<String> instances = cluster.instances();
        int resumes = 0;
        for (int i = 0; i < MAX_TRIES; i++) {
            String instance = cluster.caller(instances.get(random.nextInt(instances.size())));
            Request request =
                    reading.lastId.isEmpty() ? start(instance, prompt, words) : resume(instance, reading.lastId.get());
            resumes += reading.lastId.isPresent() ? 1 : 0;
            boolean answered = read(request, reading);
            if (answered && (reading.done || reading.error.isPresent())) {
                break;
            }
            Waiting.pause(RETRY_MS);
        }
        Optional<String> error = reading.done ? Optional.empty() : reading.error.or(() -> Optional.of("gave up"));
        return new Ended(reading.text.toString(), reading.done, error, resumes);
    }

    Request start(String instance, String prompt, int words) {
        String body = MAPPER.createObjectNode()
                .put("model", "m@1")
                .put("prompt", prompt)
                .put("max_tokens", words)
                .put("stream", true)
                .toString();
        return new Request.Builder()
                .url(instance + "/v1/completions")
                .header("X-Workspace", "w")
                .post(RequestBody.create(body, JSON))
                .build();
    }

    private static Request resume(String instance, String lastId) {
        return new Request.Builder()
                .url(instance + "/v1/streams")
                .header("X-Workspace", "w")
                .header("Last-Event-ID", lastId)
                .build();
    }

    /** Reads what comes; false when nothing answers. */
    private boolean read(Request request, Reading reading) {
        try (Response response = http.newCall(request).execute()) {
            if (response.code() == 200) {
                EventSources.processResponse(response, reading);
                return true;
            }
            reading.refused(response.body().string());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Calls once, without resuming or repeating anything. */
    Ended callOnce(String url, String prompt, int words) {
        Reading reading = new Reading();
        boolean answered = read(start(url, prompt, words), reading);
        Optional<String> error = answered ? reading.refusal : Optional.of("no answer");
        return new Ended(reading.text.toString(), reading.done, reading.error.or(() -> error), 0);
    }

    /** Starts an answer and goes when its head has come. */
    void goAfterHead(String instance, String prompt) {
        try (Response response = http.newCall(start(instance, prompt, 1_000)).execute()) {
            if (response.code() != 200) {
                throw new AssertionError(response);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** What has arrived of one answer. */
    static final class Reading extends EventSourceListener {
        private final StringBuilder text = new StringBuilder();
        private Optional<String> lastId = Optional.empty();
        private Optional<String> error = Optional.empty();
        private Optional<String> refusal = Optional.empty();
        private boolean done;

        @Override
        public void onEvent(EventSource source, String id, String type, String data) {
            if ("error".equals(type)) {
                error = Optional.of(data);
            } else if (data.equals("[DONE]")) {
                done = true;
            } else {
                lastId = Optional.ofNullable(id);
                text.append(text(data));
            }
        }

        private static String text(String data) {
            try {
                JsonNode root = MAPPER.readTree(data);
                return root.path("choices").path(0).path("text").asText("");
            } catch (JsonProcessingException e) {
                throw new AssertionError(data, e);
            }
        }

        /** A refusal ends the answer when it has begun; one that has not begun is sent anew. */
        private void refused(String body) {
            refusal = Optional.of(body);
            if (lastId.isPresent()) {
                error = Optional.of(body);
            }
        }
    }
}
