package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/** State that an instance keeps about another region from the work it forwarded there. */
final class RemoteRegion {
    private static final long REFUSAL_BACKOFF_MS = 1_000;

    final WorkDirection direction = new WorkDirection();
    final ByteBudget linkBudget = new ByteBudget();
    final AtomicLong outstandingTokens = new AtomicLong();
    private volatile long backoffUntilMs;

    /** Starts a backoff after the region refused work or could not be reached. */
    void recordRefusal(long nowMs) {
        backoffUntilMs = nowMs + REFUSAL_BACKOFF_MS;
    }

    boolean isBackingOff(long nowMs) {
        return backoffUntilMs > nowMs;
    }
}
