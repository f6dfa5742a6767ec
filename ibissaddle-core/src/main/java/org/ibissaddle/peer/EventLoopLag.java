package org.ibissaddle.peer;

/**
 * Decides whether an instance is behind, so that callers prefer others: from how late its event loop runs a periodic
 * task. Thresholds are fractions of the shortest latency objective, with hysteresis. Not thread-safe; confined to one
 * thread.
 */
public final class EventLoopLag {
    /** Average lag from which an instance is behind, as a fraction of the shortest latency objective. */
    private static final double BEHIND_FRACTION = 0.2;
    /** Average lag below which it has caught up, as a fraction of the shortest latency objective. */
    private static final double CAUGHT_UP_FRACTION = 0.05;
    /** Time for which the lag must stay low, in milliseconds: two rounds of messages. */
    private static final long CATCH_UP_MS = 1_000;
    /** Smoothing factor of the moving average; a single pause counts with a fifth. */
    private static final double SMOOTHING_FACTOR = 0.2;

    private double averageMs;
    private boolean behind;
    private long highAtMs;

    /** Creates the state of an instance that is not behind. */
    public EventLoopLag() {}

    /**
     * Records how late the task ran.
     *
     * @param lagMs time after the task was due, milliseconds
     * @param objectiveMs shortest latency objective of the configuration, milliseconds
     * @param nowMs current time, milliseconds
     */
    public void record(long lagMs, long objectiveMs, long nowMs) {
        averageMs += (Math.max(0, lagMs) - averageMs) * SMOOTHING_FACTOR;
        if (averageMs >= (double) objectiveMs * CAUGHT_UP_FRACTION) {
            highAtMs = nowMs;
        }
        behind = behind ? nowMs - highAtMs < CATCH_UP_MS : averageMs >= (double) objectiveMs * BEHIND_FRACTION;
    }

    /**
     * Returns the average lag.
     *
     * @return milliseconds
     */
    public long averageMs() {
        return Math.round(averageMs);
    }

    /**
     * Returns whether callers should prefer other instances.
     *
     * @return true from a high average lag until it has been low for a second
     */
    public boolean isBehind() {
        return behind;
    }
}
