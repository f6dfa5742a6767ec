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

/** HTTP client that resolves the instance to use and reads responses to their end. It never retries. */
public final class GatewayClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final MediaType JSON_TYPE = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 4096;
    private static final long IDLE_TIMEOUT_MS = 30_000;
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    private static final String DATA_PREFIX = "data: ";
    private static final String DONE_MARKER = "[DONE]";

    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .build();

    /**
     * Resolves the instance to use for a call.
     *
     * @param control control address of any instance
     * @param workspace workspace of the caller
     * @param call call to resolve the instance for
     * @return the first instance of the response
     * @throws IOException when the request fails or the response contains no instance
     */
    public ResolvedInstance resolve(Address control, String workspace, Call call) throws IOException {
        ObjectNode query = JSON.createObjectNode().put("workspace", workspace);
        query.put("method", call.method()).put("path", call.path());
        call.model().ifPresent(model -> query.put("model", model));
        Request request = new Request.Builder()
                .url("http://" + control + "/v1/ask")
                .post(body(query.toString()))
                .build();
        try (Response response = http.newCall(request).execute()) {
            JsonNode resolution = JSON.readTree(response.body().bytes());
            JsonNode first = resolution.at("/instances/0");
            if (first.isMissingNode()) {
                throw new IOException("instance resolution at " + control + " returned no instance for workspace \""
                        + workspace + "\": " + resolution.at("/error/message").asText("empty instance list"));
            }
            return new ResolvedInstance(
                    Address.parse(first.path("address").asText()),
                    first.path("name").asText(),
                    resolution.path("valid_until_ms").asLong(),
                    Optional.ofNullable(resolution.path("ticket").textValue()));
        }
    }

    /**
     * Sends a call.
     *
     * @param address caller address of an instance, or address of a backend server
     * @param workspace workspace of the caller
     * @param call the call
     * @param ticket ticket of a call that must not run more than once
     * @return the result; a failed connection is reported as a result, not thrown
     */
    public CallResult send(Address address, String workspace, Call call, Optional<String> ticket) {
        Request.Builder request = new Request.Builder().url("http://" + address + call.path());
        request.header("X-Workspace", workspace);
        ticket.ifPresent(text -> request.header("X-Ticket", text));
        request.method(call.method(), call.body().map(GatewayClient::body).orElse(null));
        try (Response response = http.newCall(request.build()).execute()) {
            return read(response);
        } catch (IOException e) {
            long now = System.nanoTime();
            String message =
                    Optional.ofNullable(e.getMessage()).orElse(e.getClass().getSimpleName());
            return new CallResult(
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

    private static CallResult read(Response response) throws IOException {
        boolean stream = response.header("content-type", "").startsWith("text/event-stream");
        if (stream) {
            return readEvents(response);
        }
        String text = response.body().string();
        long now = System.nanoTime();
        boolean success = response.isSuccessful();
        JsonNode error = success ? JSON.missingNode() : JSON.readTree(text).path("error");
        Optional<String> errorType =
                success ? Optional.empty() : Optional.of(error.path("type").asText("status-" + response.code()));
        return result(response, success ? text : error.path("message").asText(), success, errorType, now, now);
    }

    private static CallResult readEvents(Response response) throws IOException {
        BufferedSource source = response.body().source();
        StringBuilder text = new StringBuilder();
        Optional<String> errorType = Optional.of("answer-cut");
        long firstChunk = 0;
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            firstChunk = firstChunk == 0 ? System.nanoTime() : firstChunk;
            String data = line.substring(DATA_PREFIX.length());
            if (data.equals(DONE_MARKER)) {
                errorType = Optional.empty();
                break;
            }
            JsonNode event = JSON.readTree(data);
            if (event.has("error")) {
                errorType = Optional.of(event.at("/error/type").asText("error"));
                break;
            }
            text.append(event.at("/choices/0/delta/content").asText())
                    .append(event.at("/choices/0/text").asText());
        }
        long end = System.nanoTime();
        return result(
                response, text.toString(), errorType.isEmpty(), errorType, firstChunk == 0 ? end : firstChunk, end);
    }

    private static CallResult result(
            Response response, String text, boolean complete, Optional<String> errorType, long firstChunk, long end) {
        return new CallResult(
                response.code(),
                text,
                complete,
                errorType,
                response.header("x-ran", ""),
                Optional.ofNullable(response.header("x-instance")),
                Optional.ofNullable(response.header("x-server")),
                firstChunk,
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
