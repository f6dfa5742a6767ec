package org.ibissaddle.daemon.gateway;

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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.ibissaddle.id.Address;

/** A fake of the platform's store that serves lists and watches of the items put into it. */
final class FakePlatformStore implements AutoCloseable {
    private final HttpServer server;
    private final List<String> changes = new ArrayList<>();
    private final AtomicInteger watches = new AtomicInteger();
    private int waitingWatches;
    private int watchedRevision;
    private int cuts;
    private boolean down;

    FakePlatformStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/kv-range", exchange -> answer(exchange, "items", 0));
        server.createContext("/kv-watch", this::watch);
        server.start();
    }

    Address address() {
        return new Address("127.0.0.1", server.getAddress().getPort());
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
            while (changes.size() <= after && cuts == cutsBefore && !down && System.currentTimeMillis() < untilMs) {
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
        answer(exchange, "events", after);
    }

    private synchronized void answer(HttpExchange exchange, String list, int after) throws IOException {
        String items = changes.stream().skip(after).collect(Collectors.joining(","));
        byte[] body = "{\"%s\":[%s],\"hasMore\":false,\"at\":%d}"
                .formatted(list, items, changes.size())
                .getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
