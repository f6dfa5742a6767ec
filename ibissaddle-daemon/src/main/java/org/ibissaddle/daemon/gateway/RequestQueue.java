package org.ibissaddle.daemon.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Queue of requests that wait for a free server, ordered by priority and arrival time. Confined to the event loop. */
final class RequestQueue {
    /** Interval at which queued requests are retried when no change of capacity triggers it, milliseconds. */
    private static final long RETRY_INTERVAL_MS = 25;
    /**
     * Number of requests without a server after which a pass ends. It does not end at the first one, because a later
     * request may fit where an earlier one did not.
     */
    private static final int MAX_MISSES = 4;

    /** Maximum number of queued requests for each slot; more would miss their latency objective. */
    private static final int MAX_QUEUED_PER_SLOT = 4;

    private static final Comparator<RequestExchange> ORDER = Comparator.comparingInt(RequestExchange::priority)
            .thenComparingLong(RequestExchange::arrivedMs)
            .thenComparingInt(System::identityHashCode);

    private final GatewayCore core;
    private final Map<String, TreeSet<RequestExchange>> byService = new HashMap<>();
    private boolean retrying;

    RequestQueue(GatewayCore core) {
        this.core = core;
    }

    void start() {
        core.scheduleWithFixedDelay(this::retryAll, RETRY_INTERVAL_MS);
    }

    /** Whether a request added now is likely to be served before its maximum wait ends. */
    boolean hasRoom(String service) {
        TreeSet<RequestExchange> queue = byService.get(service);
        return queue == null
                || queue.size() < MAX_QUEUED_PER_SLOT * core.backends().slots(service);
    }

    void add(RequestExchange exchange) {
        byService
                .computeIfAbsent(exchange.service(), name -> new TreeSet<>(ORDER))
                .add(exchange);
    }

    void remove(RequestExchange exchange) {
        TreeSet<RequestExchange> queue = byService.get(exchange.service());
        if (queue != null) {
            queue.remove(exchange);
        }
    }

    int size() {
        return byService.values().stream().mapToInt(TreeSet::size).sum();
    }

    void onCapacityChanged(String service) {
        TreeSet<RequestExchange> queue = byService.get(service);
        if (queue != null && !queue.isEmpty() && !retrying) {
            core.execute(() -> retry(queue));
        }
    }

    void retryAll() {
        for (TreeSet<RequestExchange> queue : byService.values()) {
            if (!queue.isEmpty()) {
                retry(queue);
            }
        }
    }

    private void retry(Set<RequestExchange> queue) {
        if (retrying) {
            return;
        }
        retrying = true;
        try {
            int misses = 0;
            List<RequestExchange> inOrder = new ArrayList<>(queue);
            for (RequestExchange exchange : inOrder) {
                if (misses >= MAX_MISSES) {
                    break;
                }
                if (exchange.retryPlacement()) {
                    queue.remove(exchange);
                } else if (!exchange.isHeld()) {
                    misses++;
                }
            }
        } finally {
            retrying = false;
        }
    }
}
