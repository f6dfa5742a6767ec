package org.ibissaddle.proof.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Checks the promises of the gateway from what callers and backend servers see. */
final class SoakAudit {
    private static final double RETRY_RATIO = 0.2;
    private static final int RETRY_SLACK = 54;
    private static final long WINDOW_MS = 10_000;
    private static final long STEP_MS = 100;

    private final Map<String, Traffic> traffic = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Integer> statusCounts = new TreeMap<>();
    private final Map<String, Promise> promises = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Queue<String> onceOnly = new ConcurrentLinkedQueue<>();

    /** Times of the requests for one service, and of their arrivals at its servers beyond the first. */
    private record Traffic(Queue<Long> requests, Queue<Long> retries) {}

    /** An answer that promises that its request never runs. */
    private record Promise(String instance, int status) {}

    /** The most loaded window of a service. */
    record Window(String service, long startMs, long retries, double allowed) {}

    void sent(String service, String id, boolean repeatable) {
        trafficOf(service).requests().add(nowMs());
        if (!repeatable) {
            onceOnly.add(id);
        }
    }

    void arrived(String service, String id) {
        if (arrivals.computeIfAbsent(id, key -> new AtomicInteger()).getAndIncrement() > 0) {
            trafficOf(service).retries().add(nowMs());
        }
    }

    void executed(String id) {
        executions.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    }

    void failed(String cause) {
        count(cause);
    }

    void answered(String instance, String id, int status, String body, String expected) {
        count(Integer.toString(status));
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            promises.put(id, new Promise(instance, status));
        }
        if (status == 200 && !body.equals(expected)) {
            violations.add("MIXED: %s got %d characters instead of %d from %s: %s"
                    .formatted(id, body.length(), expected.length(), instance, difference(body, expected)));
        }
    }

    private static String difference(String body, String expected) {
        int at = 0;
        while (at < Math.min(body.length(), expected.length()) && body.charAt(at) == expected.charAt(at)) {
            at++;
        }
        String rest = body.substring(at, Math.min(body.length(), at + 60));
        return "from %d \"%s\"".formatted(at, rest.replace("\r", "\\r").replace("\n", "\\n"));
    }

    private synchronized void count(String status) {
        statusCounts.merge(status, 1, Integer::sum);
    }

    synchronized Map<String, Integer> statusCounts() {
        return Map.copyOf(statusCounts);
    }

    /** Returns what broke a promise. */
    List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        for (String id : onceOnly) {
            int runs = executionsOf(id);
            if (runs > 1) {
                all.add("TWICE: %s ran %d times".formatted(id, runs));
            }
        }
        promises.forEach((id, promise) -> {
            if (executionsOf(id) > 0) {
                all.add("REFUSED: %s ran, but %s answered %d".formatted(id, promise.instance(), promise.status()));
            }
        });
        for (Window window : fullestWindows()) {
            if (window.retries() > window.allowed()) {
                all.add("BUDGET: " + window);
            }
        }
        return all;
    }

    /** Returns for each service the window that uses the largest part of the allowed retries. */
    List<Window> fullestWindows() {
        List<Window> fullest = new ArrayList<>();
        traffic.forEach((service, times) -> {
            Window worst = new Window(service, 0, 0, RETRY_SLACK);
            long first =
                    times.requests().stream().mapToLong(Long::longValue).min().orElse(0);
            for (long start = first - WINDOW_MS; start <= nowMs(); start += STEP_MS) {
                long requests = Math.max(
                        within(times.requests(), start),
                        Math.max(
                                within(times.requests(), start - WINDOW_MS / 2),
                                within(times.requests(), start - WINDOW_MS)));
                Window window = new Window(
                        service, start - first, within(times.retries(), start), RETRY_RATIO * requests + RETRY_SLACK);
                if (window.retries() / window.allowed() > worst.retries() / worst.allowed()) {
                    worst = window;
                }
            }
            fullest.add(worst);
        });
        return fullest;
    }

    private static long within(Queue<Long> times, long startMs) {
        return times.stream()
                .filter(time -> time >= startMs && time < startMs + WINDOW_MS)
                .count();
    }

    private int executionsOf(String id) {
        AtomicInteger runs = executions.get(id);
        return runs == null ? 0 : runs.get();
    }

    private Traffic trafficOf(String service) {
        return traffic.computeIfAbsent(
                service, key -> new Traffic(new ConcurrentLinkedQueue<>(), new ConcurrentLinkedQueue<>()));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
