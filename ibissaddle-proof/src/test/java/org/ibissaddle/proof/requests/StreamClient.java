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

/** Client for streamed responses that resumes an interrupted stream through another instance. */
final class StreamClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 12;
    private static final long RETRY_DELAY_MS = 100;

    private final Cluster cluster;
    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .retryOnConnectionFailure(false)
            .connectTimeout(1, TimeUnit.SECONDS)
            .readTimeout(4, TimeUnit.SECONDS)
            .build();

    StreamClient(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Result of a streamed call.
     *
     * @param text the text received
     * @param complete whether the end marker was received
     * @param error the explicit error, if the response did not complete
     * @param resumes how many times the client resumed the stream
     */
    record Result(String text, boolean complete, Optional<String> error, int resumes) {}

    /** Retries and resumes until the response is complete, ends with an explicit error, or no attempt is left. */
    Result callWithRetries(String prompt, int maxTokens, Random random) {
        ResponseEvents events = new ResponseEvents();
        List<String> instances = cluster.instanceNames();
        int resumes = 0;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            String instance = cluster.callerUrl(instances.get(random.nextInt(instances.size())));
            Request request = events.lastEventId.isEmpty()
                    ? startRequest(instance, prompt, maxTokens)
                    : resumeRequest(instance, events.lastEventId.get());
            resumes += events.lastEventId.isPresent() ? 1 : 0;
            boolean connected = read(request, events);
            if (connected && (events.done || events.error.isPresent())) {
                break;
            }
            Polling.sleep(RETRY_DELAY_MS);
        }
        Optional<String> error =
                events.done ? Optional.empty() : events.error.or(() -> Optional.of("no attempts left"));
        return new Result(events.text.toString(), events.done, error, resumes);
    }

    Request startRequest(String instance, String prompt, int maxTokens) {
        String body = MAPPER.createObjectNode()
                .put("model", "m@1")
                .put("prompt", prompt)
                .put("max_tokens", maxTokens)
                .put("stream", true)
                .toString();
        return new Request.Builder()
                .url(instance + "/v1/completions")
                .header("X-Workspace", "w")
                .post(RequestBody.create(body, JSON))
                .build();
    }

    private static Request resumeRequest(String instance, String lastEventId) {
        return new Request.Builder()
                .url(instance + "/v1/streams")
                .header("X-Workspace", "w")
                .header("Last-Event-ID", lastEventId)
                .build();
    }

    /** Sends a request and reads its response; returns false if the connection failed. */
    private boolean read(Request request, ResponseEvents events) {
        try (Response response = http.newCall(request).execute()) {
            if (response.code() == 200) {
                EventSources.processResponse(response, events);
                return true;
            }
            events.recordRefusal(response.body().string());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a single request without retries or resumes. */
    Result callWithoutRetry(String url, String prompt, int maxTokens) {
        ResponseEvents events = new ResponseEvents();
        boolean connected = read(startRequest(url, prompt, maxTokens), events);
        Optional<String> error = connected ? events.refusal : Optional.of("no response");
        return new Result(events.text.toString(), events.done, events.error.or(() -> error), 0);
    }

    /** Starts a stream and disconnects after the response headers have arrived. */
    void disconnectAfterHeaders(String instance, String prompt) {
        try (Response response =
                http.newCall(startRequest(instance, prompt, 1_000)).execute()) {
            if (response.code() != 200) {
                throw new AssertionError(response);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Collects the events of a response over all its connections. */
    static final class ResponseEvents extends EventSourceListener {
        private final StringBuilder text = new StringBuilder();
        private Optional<String> lastEventId = Optional.empty();
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
                lastEventId = Optional.ofNullable(id);
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

        /**
         * Records a refusal. It is the final error only if the response has begun; otherwise the request is retried.
         */
        private void recordRefusal(String body) {
            refusal = Optional.of(body);
            if (lastEventId.isPresent()) {
                error = Optional.of(body);
            }
        }
    }
}
