package org.ibissaddle.daemon.gateway;

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
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.ibissaddle.id.Address;

/**
 * A fake of the platform's store that serves lists and watches of the items put into it. It names its era from its
 * first return from a copy on.
 */
final class FakePlatformStore implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_HISTORY_COMPACTED = 410;

    private final HttpServer server;
    private final List<Change> changes = new ArrayList<>();
    private final AtomicInteger lists = new AtomicInteger();
    private final AtomicInteger watches = new AtomicInteger();
    private int waitingWatches;
    private int watchedRevision;
    private int cuts;
    private boolean down;
    private long era;

    private record Change(String key, String json, boolean removed) {}

    FakePlatformStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/kv-range", this::list);
        server.createContext("/kv-watch", this::watch);
        server.start();
    }

    Address address() {
        return new Address("127.0.0.1", server.getAddress().getPort());
    }

    synchronized void put(String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        String change = "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d}".formatted(key, value, changes.size() + 1);
        changes.add(new Change(key, change, false));
        notifyAll();
    }

    synchronized void remove(String key) {
        String change = "{\"key\":\"%s\",\"revision\":%d,\"removed\":true}".formatted(key, changes.size() + 1);
        changes.add(new Change(key, change, true));
        notifyAll();
    }

    /** Returns the revision of the latest change. */
    synchronized int revision() {
        return changes.size();
    }

    /** Comes back from a copy of an earlier revision, in a new era. Waiting watches go on to wait. */
    synchronized void restoreCopy(int revision) {
        changes.subList(revision, changes.size()).clear();
        era++;
    }

    /** Returns the number of lists so far. */
    int lists() {
        return lists.get();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    /** Returns the number of watch calls so far. */
    int watches() {
        return watches.get();
    }

    /** Waits until a watch waits whose caller has read all changes. */
    synchronized void awaitWaitingWatch() throws InterruptedException {
        while (waitingWatches == 0 || watchedRevision < changes.size()) {
            wait();
        }
    }

    /** Closes the connections of the waiting watches without a response. */
    synchronized void cutWaitingWatches() throws InterruptedException {
        awaitWaitingWatch();
        cuts++;
        notifyAll();
        while (waitingWatches > 0) {
            wait();
        }
    }

    /** Closes the connection of each watch without a response, from now on or no longer. */
    synchronized void setDown(boolean down) {
        this.down = down;
        cuts++;
        notifyAll();
    }

    private synchronized void watch(HttpExchange exchange) throws IOException {
        watches.incrementAndGet();
        String query = exchange.getRequestURI().getQuery();
        int after = Integer.parseInt(query.replaceAll(".*after=(\\d+).*", "$1"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.replaceAll(".*waitMs=(\\d+).*", "$1"));
        int cutsBefore = cuts;
        waitingWatches++;
        watchedRevision = after;
        notifyAll();
        try {
            while (changes.size() == after && cuts == cutsBefore && !down && System.currentTimeMillis() < untilMs) {
                wait(Math.max(1, untilMs - System.currentTimeMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        waitingWatches--;
        notifyAll();
        if (cuts > cutsBefore || down) {
            exchange.close();
            return;
        }
        if (after > changes.size()) {
            send(exchange, STATUS_HISTORY_COMPACTED, "{}");
            return;
        }
        send(exchange, STATUS_OK, body("events", changes.subList(after, changes.size())));
    }

    private synchronized void list(HttpExchange exchange) throws IOException {
        lists.incrementAndGet();
        Map<String, Change> items = new LinkedHashMap<>();
        changes.forEach(change -> items.put(change.key(), change));
        items.values().removeIf(Change::removed);
        send(exchange, STATUS_OK, body("items", items.values()));
    }

    private String body(String list, Collection<Change> content) {
        String items = content.stream().map(Change::json).collect(Collectors.joining(","));
        return "{\"%s\":[%s],\"hasMore\":false,\"at\":%d}".formatted(list, items, changes.size());
    }

    private void send(HttpExchange exchange, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        if (era > 0) {
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
        }
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
