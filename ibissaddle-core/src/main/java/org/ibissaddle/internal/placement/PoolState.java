package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/** Statistics that an instance keeps about a pool of its region. */
final class PoolState {
    private static final double LOAD_TIME_CONSTANT_MS = 500;
    private static final double OUTPUT_SHARE_SMOOTHING = 0.05;
    private static final long FORWARD_SHARE_WINDOW_MS = 20_000;
    private static final double INITIAL_OUTPUT_SHARE = 0.5;

    final Ejections ejections = new Ejections();
    private final AtomicLong arrivedCount = new AtomicLong();
    private final AtomicLong forwardedCount = new AtomicLong();
    private final AtomicLong windowStartMs = new AtomicLong();
    private volatile double load;
    private volatile long loadAtMs;
    private volatile double queueWaitMs;
    private volatile boolean spilling;
    private volatile double outputShare = INITIAL_OUTPUT_SHARE;

    /** Smoothed ratio of predicted wait to its target. */
    double load() {
        return load;
    }

    /** Updates the smoothed load with a new prediction. */
    void observe(double predicted, long nowMs) {
        double weight = 1 - Math.exp(-Math.max(1, nowMs - loadAtMs) / LOAD_TIME_CONSTANT_MS);
        double old = load;
        load = old + weight * (predicted - old);
        loadAtMs = nowMs;
    }

    /** Time that requests are queued at this instance before they are dispatched to a server. */
    double queueWaitMs() {
        return queueWaitMs;
    }

    void setQueueWaitMs(double ms) {
        queueWaitMs = ms;
    }

    /** Returns whether spilling is active. It starts above the first threshold and stops below the second. */
    boolean spilling(double startAbove, double stopBelow) {
        double now = load;
        if (now > startAbove) {
            spilling = true;
        } else if (now < stopBelow) {
            spilling = false;
        }
        return spilling;
    }

    /**
     * Counts an incoming request. Both counters are halved once per window, which gives recent requests more weight.
     */
    void recordArrival(long nowMs) {
        long startMs = windowStartMs.get();
        if (nowMs - startMs > FORWARD_SHARE_WINDOW_MS && windowStartMs.compareAndSet(startMs, nowMs)) {
            arrivedCount.updateAndGet(n -> n / 2);
            forwardedCount.updateAndGet(n -> n / 2);
        }
        arrivedCount.incrementAndGet();
    }

    /** Counts a request that was forwarded to another region. */
    void recordForwarded() {
        forwardedCount.incrementAndGet();
    }

    /** Returns whether forwarding one more request stays within the maximum share. */
    boolean withinForwardShare(double maxShare) {
        return forwardedCount.get() + 1 <= maxShare * arrivedCount.get();
    }

    /** Estimates the number of output tokens of a request with the given limit. */
    long expectedOutput(int maxTokens) {
        return Math.max(1, Math.round(maxTokens * outputShare));
    }

    /** Updates the average share of the token limit that answers use. */
    void recordOutput(long tokens, int maxTokens) {
        if (maxTokens > 0) {
            double old = outputShare;
            outputShare = old + OUTPUT_SHARE_SMOOTHING * (Math.min(1, (double) tokens / maxTokens) - old);
        }
    }
}
