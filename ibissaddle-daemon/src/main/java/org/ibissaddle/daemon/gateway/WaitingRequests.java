package org.ibissaddle.daemon.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Requests that wait for a free server, the most urgent and oldest first. Confined to the event loop. */
final class WaitingRequests {
    /** How often requests are looked at that nothing else wakes, milliseconds. */
    private static final long LOOK_EVERY_MS = 25;
    /** Requests that are tried after one that finds no server, since another may fit where it doesn't. */
    private static final int MAX_MISSES = 4;

    /** Requests that may wait for each slot; more would wait past their latency objective. */
    private static final int WAITING_PER_SLOT = 4;

    private static final Comparator<Exchange> ORDER = Comparator.comparingInt(Exchange::priority)
            .thenComparingLong(Exchange::arrivedMs)
            .thenComparingInt(System::identityHashCode);

    private final GatewayCore core;
    private final Map<String, TreeSet<Exchange>> byService = new HashMap<>();
    private boolean retrying;

    WaitingRequests(GatewayCore core) {
        this.core = core;
    }

    void start() {
        core.every(this::retryAll, LOOK_EVERY_MS);
    }

    /** Whether a request that joins has a chance of being served before its wait is over. */
    boolean hasRoom(String service) {
        TreeSet<Exchange> queue = byService.get(service);
        return queue == null
                || queue.size() < WAITING_PER_SLOT * core.backends().slots(service);
    }

    void add(Exchange exchange) {
        byService
                .computeIfAbsent(exchange.service(), name -> new TreeSet<>(ORDER))
                .add(exchange);
    }

    void remove(Exchange exchange) {
        TreeSet<Exchange> queue = byService.get(exchange.service());
        if (queue != null) {
            queue.remove(exchange);
        }
    }

    int size() {
        return byService.values().stream().mapToInt(TreeSet::size).sum();
    }

    void capacityChanged(String service) {
        TreeSet<Exchange> queue = byService.get(service);
        if (queue != null && !queue.isEmpty() && !retrying) {
            core.soon(() -> retry(queue));
        }
    }

    void retryAll() {
        for (TreeSet<Exchange> queue : byService.values()) {
            if (!queue.isEmpty()) {
                retry(queue);
            }
        }
    }

    private void retry(Set<Exchange> queue) {
        if (retrying) {
            return;
        }
        retrying = true;
        try {
            int misses = 0;
            List<Exchange> inOrder = new ArrayList<>(queue);
            for (Exchange exchange : inOrder) {
                if (misses >= MAX_MISSES) {
                    break;
                }
                if (exchange.retryPlacement()) {
                    queue.remove(exchange);
                } else {
                    misses++;
                }
            }
        } finally {
            retrying = false;
        }
    }
}
