package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/** What an instance has learnt of another region by what it sent there. */
final class RemoteRegion {
    private static final long REFUSED_PAUSE_MS = 1_000;

    final Direction direction = new Direction();
    final ByteBudget link = new ByteBudget();
    final AtomicLong outstandingTokens = new AtomicLong();
    private volatile long refusedUntilMs;

    /** Stops sending for a while after the region refused or could not be reached. */
    void refused(long nowMs) {
        refusedUntilMs = nowMs + REFUSED_PAUSE_MS;
    }

    boolean refusedLately(long nowMs) {
        return refusedUntilMs > nowMs;
    }
}
