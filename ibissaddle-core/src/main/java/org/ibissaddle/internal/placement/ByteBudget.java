package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/** Token bucket for the bytes sent over a link. It refills at a fixed rate and holds one second of that rate. */
final class ByteBudget {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long BURST_MICROS = 1_000_000;
    private static final long MICROS_PER_MS = 1_000;

    private final AtomicLong reservedUntilMicros = new AtomicLong();

    /**
     * Returns whether the given number of bytes fits into the budget now. A full budget admits any number of bytes, so
     * that large requests are not excluded for ever.
     */
    boolean fits(double bytes, double bytesPerSecond, long nowMs) {
        long previous = reservedUntilMicros.get();
        boolean full = previous <= nowMs * MICROS_PER_MS;
        return bytesPerSecond > 0
                && (full || reservedUntil(previous, bytes, bytesPerSecond, nowMs) <= burstLimitMicros(nowMs));
    }

    /** Deducts bytes from the budget; may overdraw it. */
    void consume(double bytes, double bytesPerSecond, long nowMs) {
        if (bytesPerSecond > 0) {
            reservedUntilMicros.updateAndGet(previous -> reservedUntil(previous, bytes, bytesPerSecond, nowMs));
        }
    }

    private static long reservedUntil(long previous, double bytes, double bytesPerSecond, long nowMs) {
        long startMicros = Math.max(previous, nowMs * MICROS_PER_MS);
        return startMicros + (long) (bytes / bytesPerSecond * MICROS_PER_SECOND);
    }

    private static long burstLimitMicros(long nowMs) {
        return nowMs * MICROS_PER_MS + BURST_MICROS;
    }
}
