package org.ibissaddle.proof.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.ibissaddle.platform.PlatformHeaders;

/** A stand-in of the platform's metadata store that keeps its whole history, and may come back from an older copy. */
final class MetadataStore implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_HISTORY_COMPACTED = 410;

    private final HttpServer server;
    private final List<Change> changes = new ArrayList<>();
    private long era = 1;

    /** A change and its revision; the value is null if the key was removed. */
    private record Change(String key, String value, int revision) {
        String json() {
            return value == null
                    ? "{\"key\":\"%s\",\"revision\":%d,\"removed\":true}".formatted(key, revision)
                    : "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d}".formatted(key, value, revision);
        }
    }

    MetadataStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/kv-range", this::list);
        server.createContext("/kv-watch", this::watch);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        write(key, value);
    }

    synchronized void remove(String key) {
        write(key, null);
    }

    private synchronized void write(String key, String value) {
        changes.add(new Change(key, value, changes.size() + 1));
        notifyAll();
    }

    /**
     * Comes back from a copy that lacks the latest changes, in a new era; waiting watches go on to wait.
     *
     * @return the keys and values that are lost, to be repeated by their writers
     */
    synchronized Map<String, Optional<String>> restoreCopy(int lostChanges) {
        List<Change> lost = changes.subList(Math.max(1, changes.size() - lostChanges), changes.size());
        Map<String, Optional<String>> latest = new LinkedHashMap<>();
        lost.forEach(change -> latest.put(change.key(), Optional.ofNullable(change.value())));
        lost.clear();
        era++;
        return latest;
    }

    /**
     * Comes back in the same way, with what was lost and further changes, so that its revision is higher than before.
     */
    synchronized void restoreCopyAndPassIt(int lostChanges) {
        int before = revision();
        Map<String, Optional<String>> lost = restoreCopy(lostChanges);
        repeat(lost, revision());
        while (revision() <= before) {
            write("other/key", "");
        }
    }

    /** Repeats lost changes, except those of keys that have been written since. */
    synchronized void repeat(Map<String, Optional<String>> lost, int sinceRevision) {
        Map<String, Optional<String>> due = new LinkedHashMap<>(lost);
        changes.stream()
                .filter(change -> change.revision() > sinceRevision)
                .forEach(change -> due.remove(change.key()));
        due.forEach((key, value) -> write(key, value.orElse(null)));
    }

    synchronized int revision() {
        return changes.size();
    }

    private synchronized void watch(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        int after = Integer.parseInt(query.replaceAll(".*after=(\\d+).*", "$1"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.replaceAll(".*waitMs=(\\d+).*", "$1"));
        try {
            while (changes.size() == after && System.currentTimeMillis() < untilMs) {
                wait(Math.max(1, untilMs - System.currentTimeMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (after > changes.size()) {
            send(exchange, STATUS_HISTORY_COMPACTED, "{}");
            return;
        }
        send(exchange, STATUS_OK, body("events", changes.subList(after, changes.size())));
    }

    private synchronized void list(HttpExchange exchange) throws IOException {
        Map<String, Change> items = new LinkedHashMap<>();
        changes.forEach(change -> items.put(change.key(), change));
        items.values().removeIf(change -> change.value() == null);
        send(exchange, STATUS_OK, body("items", items.values()));
    }

    private String body(String list, Collection<Change> content) {
        String items = content.stream().map(Change::json).collect(Collectors.joining(","));
        return "{\"%s\":[%s],\"hasMore\":false,\"at\":%d}".formatted(list, items, changes.size());
    }

    private void send(HttpExchange exchange, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        try (exchange) {
            exchange.getResponseHeaders().set(PlatformHeaders.STORE_ERA, Long.toString(era));
            exchange.sendResponseHeaders(status, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
