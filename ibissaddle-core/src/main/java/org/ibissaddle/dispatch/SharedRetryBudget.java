package org.ibissaddle.dispatch;

import java.util.OptionalInt;

/**
 * The portion of a deployment-wide retry budget that one instance may use without coordination: a fraction of its own
 * requests, plus its portion of the slack. The portions of all instances add up to the total at most, also if the
 * retries of a window arrive up to one window late, as long as no instance underestimates the number of instances. Not
 * thread-safe.
 */
public final class SharedRetryBudget {
    /** Fraction of the configured ratio that is used; the rest covers the retries that arrive a window late. */
    private static final double RATIO_SHARE = 0.5;
    /**
     * Fraction of the slack that all instances together can save up, and receive in a window. A window may see the
     * saved portion and those of itself and the window before.
     */
    private static final double SLACK_SHARE = 1.0 / 3;
    /** Minimum number of instances to divide the slack by. */
    private static final int MIN_INSTANCES = 4;

    private final double ratio;
    private final double slack;
    private final double windowMs;
    private double tokens;
    private long refilledAtMs;

    /**
     * Creates an empty budget, which fills from the start of the process on. What the instance used before it started
     * is unknown and counts in the same window.
     *
     * @param ratio retries per request that the deployment allows, 0 to 1
     * @param slack additional retries that the deployment allows in a window
     * @param windowMs length of the window, milliseconds
     * @param startedMs start time of the process, milliseconds
     */
    public SharedRetryBudget(double ratio, double slack, long windowMs, long startedMs) {
        this.ratio = ratio * RATIO_SHARE;
        this.slack = slack * SLACK_SHARE;
        this.windowMs = windowMs;
        this.refilledAtMs = startedMs;
    }

    /**
     * Creates a budget with one token, for an instance that knows no address of another one. Alone, it uses a fraction
     * of the slack, so that the rest covers its restarts.
     *
     * @param ratio retries per request that the deployment allows, 0 to 1
     * @param slack additional retries that the deployment allows in a window
     * @param windowMs length of the window, milliseconds
     * @param startedMs start time of the process, milliseconds
     * @return the budget
     */
    public static SharedRetryBudget forSingleInstance(double ratio, double slack, long windowMs, long startedMs) {
        SharedRetryBudget budget = new SharedRetryBudget(ratio, slack, windowMs, startedMs);
        budget.tokens = 1;
        return budget;
    }

    /**
     * Records the first attempt of a request.
     *
     * @param instances number of instances of the deployment, empty if unknown
     */
    public void recordRequest(OptionalInt instances) {
        tokens = Math.min(capacity(instances), tokens + ratio);
    }

    /**
     * Takes a token for one retry.
     *
     * @param instances number of instances of the deployment, empty if unknown
     * @param nowMs current time, milliseconds
     * @return whether a token was available
     */
    public boolean tryAcquire(OptionalInt instances, long nowMs) {
        if (!canAcquire(instances, nowMs)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns whether a retry is currently allowed, without taking a token.
     *
     * @param instances number of instances of the deployment, empty if unknown
     * @param nowMs current time, milliseconds
     * @return whether a token is available
     */
    public boolean canAcquire(OptionalInt instances, long nowMs) {
        tokens = Math.min(capacity(instances), tokens + slackPortion(instances) * (nowMs - refilledAtMs) / windowMs);
        refilledAtMs = nowMs;
        return tokens >= 1;
    }

    private double capacity(OptionalInt instances) {
        return Math.max(1, slackPortion(instances));
    }

    /** Returns the portion of the slack that this instance may use, none while the number of instances is unknown. */
    private double slackPortion(OptionalInt instances) {
        return instances.isEmpty() ? 0 : slack / Math.max(MIN_INSTANCES, instances.getAsInt());
    }
}
