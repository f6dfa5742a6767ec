package org.ibissaddle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/** HTTP client and wait helpers shared by the tests of the stand-ins. */
final class StandinHttpClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final InetSocketAddress server;

    StandinHttpClient(InetSocketAddress server) {
        this.server = server;
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return send("GET", path, "");
    }

    HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body, headers), BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(String method, String path, String body, String... headers) {
        return client.sendAsync(request(method, path, body, headers), BodyHandlers.ofString());
    }

    HttpResponse<byte[]> bytes(String method, String path, byte[] body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(path))
                .method(method, BodyPublishers.ofByteArray(body))
                .timeout(TIMEOUT)
                .build();
        return client.send(request, BodyHandlers.ofByteArray());
    }

    JsonNode json(String path) throws IOException, InterruptedException {
        return JSON.readTree(get(path).body());
    }

    static JsonNode parseJson(String text) throws IOException {
        return JSON.readTree(text);
    }

    static List<Event> events(String stream) throws IOException {
        List<Event> events = new ArrayList<>();
        for (String block : stream.split("\n\n", -1)) {
            if (block.startsWith("id: ")) {
                events.add(event(block));
            }
        }
        return events;
    }

    static String joinText(List<Event> events) {
        StringBuilder text = new StringBuilder();
        events.forEach(event -> text.append(event.text()));
        return text.toString();
    }

    static void waitUntil(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("condition was not met within " + TIMEOUT);
            }
            Thread.onSpinWait();
        }
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(path))
                .timeout(TIMEOUT)
                .method(method, BodyPublishers.ofString(body, StandardCharsets.UTF_8));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return request.build();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + server.getPort() + path);
    }

    private static Event event(String block) throws IOException {
        String[] id = block.substring("id: ".length(), block.indexOf('\n')).split("/", -1);
        JsonNode choice = parseJson(block.substring(block.indexOf("data: ") + "data: ".length()))
                .at("/choices/0");
        String text = choice.has("delta")
                ? choice.at("/delta/content").asText()
                : choice.path("text").asText();
        return new Event(
                id[0], Integer.parseInt(id[1]), Integer.parseInt(id[2]), text, choice.hasNonNull("finish_reason"));
    }

    record Event(String requestId, int attempt, int offset, String text, boolean last) {}
}
