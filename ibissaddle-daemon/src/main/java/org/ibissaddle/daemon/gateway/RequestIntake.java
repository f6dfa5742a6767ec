package org.ibissaddle.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Starts received requests in the order of their arrival. Between batches the event loop reads its connections, so that
 * an overloaded instance notices that callers have left before it processes their requests. Confined to the event loop.
 */
final class RequestIntake {
    /** Time after which a batch ends, milliseconds. */
    private static final long BATCH_MS = 20;

    private final GatewayCore core;
    private final Deque<RequestExchange> received = new ArrayDeque<>();
    private boolean scheduled;

    RequestIntake(GatewayCore core) {
        this.core = core;
    }

    /** Starts a request after the connections that are ready now have been read. */
    void add(RequestExchange exchange) {
        received.add(exchange);
        if (!scheduled) {
            scheduled = true;
            core.execute(this::startBatch);
        }
    }

    private void startBatch() {
        long untilMs = core.nowMs() + BATCH_MS;
        try {
            do {
                received.poll().start();
            } while (!received.isEmpty() && core.nowMs() < untilMs);
        } finally {
            scheduled = !received.isEmpty();
            if (scheduled) {
                core.schedule(this::startBatch, 0);
            }
        }
    }
}
