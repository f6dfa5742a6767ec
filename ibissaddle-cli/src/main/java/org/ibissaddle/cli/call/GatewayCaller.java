package org.ibissaddle.cli.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.ibissaddle.id.Address;

/** A caller that asks which instance to use, and reads answers to their end. Repeats nothing by itself. */
public final class GatewayCaller implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final MediaType JSON_TYPE = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 4096;
    private static final long IDLE_MS = 30_000;
    private static final long CONNECT_MS = 2_000;
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_MS, TimeUnit.MILLISECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_MS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .build();

    /**
     * Asks which instance to use.
     *
     * @param control control address of any instance
     * @param workspace workspace of the caller
     * @param call call that is to be made
     * @return the first instance of the answer
     * @throws IOException when there is no answer or no instance in it
     */
    public Asked ask(Address control, String workspace, Call call) throws IOException {
        ObjectNode question = JSON.createObjectNode().put("workspace", workspace);
        question.put("method", call.method()).put("path", call.path());
        call.model().ifPresent(model -> question.put("model", model));
        Request request = new Request.Builder()
                .url("http://" + control + "/v1/ask")
                .post(body(question.toString()))
                .build();
        try (Response response = http.newCall(request).execute()) {
            JsonNode answer = JSON.readTree(response.body().bytes());
            JsonNode first = answer.at("/instances/0");
            if (first.isMissingNode()) {
                throw new IOException("the ask step at " + control + " named no instance for workspace \"" + workspace
                        + "\": " + answer.at("/error/message").asText("empty list"));
            }
            return new Asked(
                    Address.parse(first.path("address").asText()),
                    first.path("name").asText(),
                    answer.path("valid_until_ms").asLong(),
                    Optional.ofNullable(answer.path("ticket").textValue()));
        }
    }

    /**
     * Makes a call.
     *
     * @param address caller address of an instance, or a backend server
     * @param workspace workspace of the caller
     * @param call the call
     * @param ticket ticket of a call that may run once only
     * @return what came back; a failed connection too
     */
    public Answer send(Address address, String workspace, Call call, Optional<String> ticket) {
        Request.Builder request = new Request.Builder().url("http://" + address + call.path());
        request.header("X-Workspace", workspace);
        ticket.ifPresent(text -> request.header("X-Ticket", text));
        request.method(call.method(), call.body().map(GatewayCaller::body).orElse(null));
        try (Response response = http.newCall(request.build()).execute()) {
            return read(response);
        } catch (IOException e) {
            long now = System.nanoTime();
            String message =
                    Optional.ofNullable(e.getMessage()).orElse(e.getClass().getSimpleName());
            return new Answer(
                    0,
                    message,
                    false,
                    Optional.of("connection-failed"),
                    "unknown",
                    Optional.empty(),
                    Optional.empty(),
                    now,
                    now);
        }
    }

    private static Answer read(Response response) throws IOException {
        boolean stream = response.header("content-type", "").startsWith("text/event-stream");
        if (stream) {
            return readEvents(response);
        }
        String text = response.body().string();
        long now = System.nanoTime();
        boolean answered = response.isSuccessful();
        JsonNode error = answered ? JSON.missingNode() : JSON.readTree(text).path("error");
        Optional<String> refusal =
                answered ? Optional.empty() : Optional.of(error.path("type").asText("status-" + response.code()));
        return answer(response, answered ? text : error.path("message").asText(), answered, refusal, now, now);
    }

    private static Answer readEvents(Response response) throws IOException {
        BufferedSource source = response.body().source();
        StringBuilder text = new StringBuilder();
        Optional<String> refusal = Optional.of("answer-cut");
        long first = 0;
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            first = first == 0 ? System.nanoTime() : first;
            String data = line.substring(DATA.length());
            if (data.equals(DONE)) {
                refusal = Optional.empty();
                break;
            }
            JsonNode event = JSON.readTree(data);
            if (event.has("error")) {
                refusal = Optional.of(event.at("/error/type").asText("error"));
                break;
            }
            text.append(event.at("/choices/0/delta/content").asText())
                    .append(event.at("/choices/0/text").asText());
        }
        long end = System.nanoTime();
        return answer(response, text.toString(), refusal.isEmpty(), refusal, first == 0 ? end : first, end);
    }

    private static Answer answer(
            Response response, String text, boolean complete, Optional<String> refusal, long first, long end) {
        return new Answer(
                response.code(),
                text,
                complete,
                refusal,
                response.header("x-ran", ""),
                Optional.ofNullable(response.header("x-instance")),
                Optional.ofNullable(response.header("x-server")),
                first,
                end);
    }

    private static RequestBody body(String text) {
        return RequestBody.create(text.getBytes(StandardCharsets.UTF_8), JSON_TYPE);
    }

    @Override
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }
}
