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

/** A caller's HTTP client: plain, without any knowledge of the gateway. */
public final class Http {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /** Sends a GET. */
    public HttpResponse<String> get(String address, String path, String... headers)
            throws IOException, InterruptedException {
        return send(request(address, path, headers).GET());
    }

    /** Sends a POST. */
    public HttpResponse<String> post(String address, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return send(request(address, path, headers).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Asks which instance to use; returns the whole answer. */
    public JsonNode ask(String control, String workspace, String method, String path)
            throws IOException, InterruptedException {
        ObjectNode question = JSON.createObjectNode().put("workspace", workspace);
        question.put("method", method).put("path", path);
        return JSON.readTree(post(control, "/v1/ask", question.toString()).body());
    }

    /** Sends a chat completion. */
    public HttpResponse<String> chat(
            String caller, String workspace, String model, String prompt, int maxTokens, boolean stream)
            throws IOException, InterruptedException {
        return post(
                caller, "/v1/chat/completions", chatBody(model, prompt, maxTokens, stream), "X-Workspace", workspace);
    }

    /** Builds the body of a chat completion. */
    public static String chatBody(String model, String prompt, int maxTokens, boolean stream) {
        ObjectNode body = JSON.createObjectNode().put("model", model).put("max_tokens", maxTokens);
        body.put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    /** Joins the text of a streamed answer. */
    public static String streamedText(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.lines().toList()) {
            if (line.startsWith("data: {")) {
                JsonNode chunk = JSON.readTree(line.substring("data: ".length()));
                text.append(chunk.at("/choices/0/delta/content").asText(""));
            }
        }
        return text.toString();
    }

    /** Reads JSON. */
    public static JsonNode json(String text) throws IOException {
        return JSON.readTree(text);
    }

    private static HttpRequest.Builder request(String address, String path, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder;
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
