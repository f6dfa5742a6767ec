package org.ibissaddle.proof.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** A stand-in of the platform's metadata store that keeps its whole history and lists it as items. */
final class MetadataStore implements AutoCloseable {
    private final HttpServer server;
    private final List<String> changes = new ArrayList<>();

    MetadataStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/kv-range", exchange -> answer(exchange, "items", 0));
        server.createContext("/kv-watch", this::watch);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        changes.add("{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d}".formatted(key, value, changes.size() + 1));
        notifyAll();
    }

    synchronized void remove(String key) {
        changes.add("{\"key\":\"%s\",\"revision\":%d,\"removed\":true}".formatted(key, changes.size() + 1));
        notifyAll();
    }

    private synchronized void watch(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        int after = Integer.parseInt(query.replaceAll(".*after=(\\d+).*", "$1"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.replaceAll(".*waitMs=(\\d+).*", "$1"));
        try {
            while (changes.size() <= after && System.currentTimeMillis() < untilMs) {
                wait(Math.max(1, untilMs - System.currentTimeMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        answer(exchange, "events", after);
    }

    private synchronized void answer(HttpExchange exchange, String list, int after) throws IOException {
        String items = changes.stream().skip(after).collect(Collectors.joining(","));
        byte[] body = "{\"%s\":[%s],\"hasMore\":false,\"at\":%d}"
                .formatted(list, items, changes.size())
                .getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
