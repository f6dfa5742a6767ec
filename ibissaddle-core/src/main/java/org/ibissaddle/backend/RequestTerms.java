package org.ibissaddle.backend;

/**
 * What the caller of a request expects.
 *
 * @param priority priority of the request; 0 is the highest
 * @param arrivedMs time of its arrival in milliseconds
 * @param objectiveAtMs time in milliseconds until which the first part of the response should arrive
 */
public record RequestTerms(int priority, long arrivedMs, long objectiveAtMs) {
    /** Terms of a request without an objective. */
    public static final RequestTerms NONE = new RequestTerms(0, 0, Long.MAX_VALUE);

    /**
     * Returns whether the request has an objective.
     *
     * @return false for {@link #NONE}
     */
    public boolean hasObjective() {
        return objectiveAtMs != Long.MAX_VALUE;
    }

    /**
     * Returns the latency objective.
     *
     * @return time from the arrival to the first part of the response in milliseconds
     */
    public long objectiveMs() {
        return objectiveAtMs - arrivedMs;
    }
}
