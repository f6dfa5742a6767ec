package org.ibissaddle.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.backend.QueueOrder;
import org.ibissaddle.backend.QueueTerms;

/**
 * Queue of requests that wait for a free server; the order is that of {@link QueueOrder}. Confined to the event loop.
 */
final class RequestQueue {
    /** Interval at which queued requests are retried when no change of capacity triggers it, milliseconds. */
    private static final long RETRY_INTERVAL_MS = 25;
    /**
     * Number of requests without a server after which a pass ends. It does not end at the first one, because a later
     * request may fit where an earlier one did not.
     */
    private static final int MAX_MISSES = 4;
    /** Maximum number of requests of a pass. Some are held and count as no misses. */
    private static final int MAX_TRIED = 32;
    /** Maximum number of queued requests for each slot. Limits the memory of a queue whose rate is not known yet. */
    private static final int MAX_QUEUED_PER_SLOT = 4;

    private final GatewayCore core;
    private final Map<String, QueueOrder<RequestExchange>> byService = new HashMap<>();
    private final Map<RequestExchange, QueueOrder.Entry<RequestExchange>> entries = new HashMap<>();
    private final QueueTerms terms;
    private boolean retrying;

    RequestQueue(GatewayCore core) {
        this.core = core;
        this.terms = new QueueTerms(core.backends());
    }

    QueueOrder.Waiter termsOf(QueueTerms.Request request) {
        return core.hasWorkspaces() ? terms.of(request) : terms.inOrderOfArrival(request);
    }

    void start() {
        core.scheduleWithFixedDelay(this::retryAll, RETRY_INTERVAL_MS);
    }

    /** Returns why a request should not be added now, empty if the queue has room. */
    Optional<String> refusal(RequestExchange exchange) {
        QueueOrder<RequestExchange> queue = byService.get(exchange.service());
        if (queue == null || queue.size() == 0) {
            return Optional.empty();
        }
        if (queue.size() >= MAX_QUEUED_PER_SLOT * core.backends().slots(exchange.service())) {
            return Optional.of("the queue for servers of service " + exchange.service() + " is full");
        }
        return Optional.empty();
    }

    /** Returns why a waiting request should be refused unless it is sent now, empty if it may go on waiting. */
    Optional<String> giveUpReason(RequestExchange exchange) {
        return queue(exchange).shouldGiveUp(exchange.waiter(), core.nowMs()).map(reason -> switch (reason) {
            case TIMEOUT -> "waited too long for a free server to be complete before its timeout";
            case NO_PROGRESS -> "waited too long for a free server";
        });
    }

    void add(RequestExchange exchange) {
        if (!entries.containsKey(exchange)) {
            entries.put(exchange, queue(exchange).add(exchange, exchange.waiter(), core.nowMs()));
            core.metrics().recordQueued(exchange.service(), exchange.isHeld());
        }
    }

    void remove(RequestExchange exchange) {
        QueueOrder.Entry<RequestExchange> entry = entries.remove(exchange);
        if (entry != null) {
            queue(exchange).remove(entry);
        }
    }

    int size() {
        return entries.size();
    }

    void onCapacityChanged(String service) {
        QueueOrder<RequestExchange> queue = byService.get(service);
        if (queue != null && queue.size() > 0 && !retrying) {
            core.execute(() -> retry(queue));
        }
    }

    void retryAll() {
        byService.forEach((service, queue) -> {
            if (queue.size() > 0) {
                retry(queue);
            }
            core.metrics().setWaiting(service, queue.size(), queue.lateSize());
        });
    }

    private QueueOrder<RequestExchange> queue(RequestExchange exchange) {
        return byService.computeIfAbsent(exchange.service(), name -> new QueueOrder<>());
    }

    private void retry(QueueOrder<RequestExchange> queue) {
        if (retrying) {
            return;
        }
        retrying = true;
        try {
            placeInOrder(queue, queue.next(MAX_TRIED, core.nowMs()));
            for (QueueOrder.Entry<RequestExchange> entry : queue.hopeless(core.nowMs())) {
                tryToPlace(queue, entry);
            }
        } finally {
            retrying = false;
        }
    }

    private void placeInOrder(QueueOrder<RequestExchange> queue, List<QueueOrder.Entry<RequestExchange>> inOrder) {
        int misses = 0;
        for (QueueOrder.Entry<RequestExchange> entry : inOrder) {
            if (misses >= MAX_MISSES) {
                return;
            }
            boolean placed = tryToPlace(queue, entry);
            misses += placed || entry.request().isHeld() ? 0 : 1;
        }
    }

    /** Tries to place a request; returns whether it has left the queue, sent or refused. */
    private boolean tryToPlace(QueueOrder<RequestExchange> queue, QueueOrder.Entry<RequestExchange> entry) {
        RequestExchange exchange = entry.request();
        if (entries.get(exchange) != entry) {
            return true;
        }
        if (!exchange.retryPlacement()) {
            return false;
        }
        if (entries.remove(exchange) != null) {
            leave(queue, entry);
        }
        return true;
    }

    private void leave(QueueOrder<RequestExchange> queue, QueueOrder.Entry<RequestExchange> entry) {
        boolean sent = entry.request().isSentToServer();
        long waitedMs = core.nowMs() - entry.waiter().arrivedMs();
        core.metrics().recordQueueWait(entry.request().service(), sent, waitedMs);
        if (sent) {
            queue.served(entry, core.nowMs());
        } else {
            queue.remove(entry);
        }
    }
}
