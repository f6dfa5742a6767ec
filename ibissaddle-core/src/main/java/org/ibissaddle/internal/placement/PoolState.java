package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/** What an instance has learnt of a pool of its own region. */
final class PoolState {
    private static final double TAU_MS = 500;
    private static final double OUTPUT_WEIGHT = 0.05;
    private static final long WINDOW_MS = 20_000;
    private static final double INITIAL_OUTPUT_SHARE = 0.5;

    final Ejections ejections = new Ejections();
    private final AtomicLong total = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong windowFromMs = new AtomicLong();
    private volatile double load;
    private volatile long loadAtMs;
    private volatile double queueWaitMs;
    private volatile boolean spilling;
    private volatile double outputShare = INITIAL_OUTPUT_SHARE;

    /** Smoothed predicted wait over target. */
    double load() {
        return load;
    }

    /** Takes a new prediction in. */
    void observe(double predicted, long nowMs) {
        double weight = 1 - Math.exp(-Math.max(1, nowMs - loadAtMs) / TAU_MS);
        double old = load;
        load = old + weight * (predicted - old);
        loadAtMs = nowMs;
    }

    /** Time that requests wait at this instance before they are given to a server. */
    double queueWaitMs() {
        return queueWaitMs;
    }

    void queueWait(double ms) {
        queueWaitMs = ms;
    }

    /** Whether work is being sent away: on above the first bound, off below the second. */
    boolean spilling(double startAbove, double stopBelow) {
        double now = load;
        if (now > startAbove) {
            spilling = true;
        } else if (now < stopBelow) {
            spilling = false;
        }
        return spilling;
    }

    /** Counts a request. */
    void arrived(long nowMs) {
        long from = windowFromMs.get();
        if (nowMs - from > WINDOW_MS && windowFromMs.compareAndSet(from, nowMs)) {
            total.updateAndGet(n -> n / 2);
            sent.updateAndGet(n -> n / 2);
        }
        total.incrementAndGet();
    }

    /** Counts a request that was sent away. */
    void sentAway() {
        sent.incrementAndGet();
    }

    /** Whether one more may be sent away. */
    boolean maySendAway(double maxShare) {
        return sent.get() + 1 <= maxShare * total.get();
    }

    /** Expected number of generated tokens for a bound. */
    long expectedOutput(int maxTokens) {
        return Math.max(1, Math.round(maxTokens * outputShare));
    }

    /** Learns how much of the bound an answer used. */
    void generated(long tokens, int maxTokens) {
        if (maxTokens > 0) {
            double old = outputShare;
            outputShare = old + OUTPUT_WEIGHT * (Math.min(1, (double) tokens / maxTokens) - old);
        }
    }
}
