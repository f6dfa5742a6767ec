package org.ibissaddle.proof.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** HTTP client of a caller, without retries or other gateway-specific behaviour. */
public final class TestHttpClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /** Sends a GET request. */
    public HttpResponse<String> get(String address, String path, String... headers)
            throws IOException, InterruptedException {
        return send(request(address, path, headers).GET());
    }

    /** Sends a POST request. */
    public HttpResponse<String> post(String address, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return send(request(address, path, headers).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Queries the discovery endpoint for the instances to use; returns the complete response body. */
    public JsonNode discover(String control, String workspace, String method, String path)
            throws IOException, InterruptedException {
        ObjectNode requestBody = MAPPER.createObjectNode().put("workspace", workspace);
        requestBody.put("method", method).put("path", path);
        return MAPPER.readTree(post(control, "/v1/ask", requestBody.toString()).body());
    }

    /** Sends a chat completion request. */
    public HttpResponse<String> chat(
            String caller, String workspace, String model, String prompt, int maxTokens, boolean stream)
            throws IOException, InterruptedException {
        return post(
                caller, "/v1/chat/completions", chatBody(model, prompt, maxTokens, stream), "X-Workspace", workspace);
    }

    /** Builds the body of a chat completion request. */
    public static String chatBody(String model, String prompt, int maxTokens, boolean stream) {
        ObjectNode body = MAPPER.createObjectNode().put("model", model).put("max_tokens", maxTokens);
        body.put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    /** Concatenates the text of the events in a streamed response. */
    public static String streamedText(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.lines().toList()) {
            if (line.startsWith("data: {")) {
                JsonNode chunk = MAPPER.readTree(line.substring("data: ".length()));
                text.append(chunk.at("/choices/0/delta/content").asText(""));
            }
        }
        return text.toString();
    }

    /** Parses JSON. */
    public static JsonNode parseJson(String text) throws IOException {
        return MAPPER.readTree(text);
    }

    private static HttpRequest.Builder request(String address, String path, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(REQUEST_TIMEOUT);
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder;
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
