package org.ibissaddle.quota;

/** Moving average of the requests of a workspace at the local instance. */
final class DemandRate {
    /** Time constant of the average, milliseconds. */
    private static final double DECAY_MS = 1_000;

    private double requestsPerMs;
    private double tokensPerMs;
    private long updatedMs;

    void record(long cost, long nowMs) {
        double factor = Math.exp((updatedMs - nowMs) / DECAY_MS);
        requestsPerMs = requestsPerMs * factor + 1 / DECAY_MS;
        tokensPerMs = tokensPerMs * factor + cost / DECAY_MS;
        updatedMs = nowMs;
    }

    double requestsIn(long periodMs, long nowMs) {
        return requestsPerMs * Math.exp((updatedMs - nowMs) / DECAY_MS) * periodMs;
    }

    double tokensIn(long periodMs, long nowMs) {
        return tokensPerMs * Math.exp((updatedMs - nowMs) / DECAY_MS) * periodMs;
    }

    double averageCost() {
        return requestsPerMs == 0 ? 0 : tokensPerMs / requestsPerMs;
    }
}
