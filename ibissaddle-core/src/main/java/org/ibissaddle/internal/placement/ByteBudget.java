package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that may be sent over a link: a bucket that fills at a fixed rate and holds one second of it. */
final class ByteBudget {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long BURST_MICROS = 1_000_000;
    private static final long MICROS_PER_MS = 1_000;

    private final AtomicLong paidUntilMicros = new AtomicLong();

    /** Whether so many bytes fit now. */
    boolean fits(double bytes, double bytesPerSecond, long nowMs) {
        return bytesPerSecond > 0 && next(paidUntilMicros.get(), bytes, bytesPerSecond, nowMs) <= limit(nowMs);
    }

    /** Takes bytes out, also more than are left. */
    void take(double bytes, double bytesPerSecond, long nowMs) {
        if (bytesPerSecond > 0) {
            paidUntilMicros.updateAndGet(old -> next(old, bytes, bytesPerSecond, nowMs));
        }
    }

    private static long next(long old, double bytes, double bytesPerSecond, long nowMs) {
        long from = Math.max(old, nowMs * MICROS_PER_MS);
        return from + (long) (bytes / bytesPerSecond * MICROS_PER_SECOND);
    }

    private static long limit(long nowMs) {
        return nowMs * MICROS_PER_MS + BURST_MICROS;
    }
}
