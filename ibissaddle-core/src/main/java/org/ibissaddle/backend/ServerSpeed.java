package org.ibissaddle.backend;

/**
 * Estimates how much longer work currently takes on one server than on a typical server of its service. Combines the
 * slowdown that the server reports with the times that this instance observes. Both lose weight with their age, so that
 * the estimate returns to that of the service and a server that was avoided is used again.
 */
final class ServerSpeed {
    /** Slowdown of a typical server. */
    static final double USUAL = 1;

    /** Bounds of the estimate, so that one wrong figure neither excludes a server nor draws all requests to it. */
    private static final double MIN_SLOWDOWN = 0.5;

    private static final double MAX_SLOWDOWN = 10;
    private static final double PERCENT = 100;
    /** Weight of observations relative to a report of the same age: other load on the server distorts them. */
    private static final double OBSERVATION_WEIGHT = 0.5;
    /** Weight of one time to the first event in the observed slowdown. */
    private static final double FIRST_EVENT_SMOOTHING = 0.3;
    /** Weight of one gap between events. Smaller, since a stream has many and single ones contain prefill steps. */
    private static final double GAP_SMOOTHING = 0.1;
    /** Added to observed and expected times: a busy event loop reads a response some ten milliseconds late. */
    private static final double FIRST_EVENT_NOISE_MS = 50;
    /** The same for gaps between events, whose delays partly cancel each other. */
    private static final double GAP_NOISE_MS = 10;
    /** Observed slowdowns up to this one are within the usual differences between requests. */
    private static final double MIN_OBSERVED_SLOWDOWN = 1.25;
    /** Number of recent samples from which the observed slowdown has its full weight; the first one has none. */
    private static final double CONFIDENT_SAMPLES = 3;
    /** Multiple of the expected time without progress from which a server counts as stalled. */
    private static final double STALL_TOLERANCE = 3;
    /** Minimum expected time of a step of progress; shorter ones are within the delays of a busy event loop. */
    private static final double MIN_EXPECTED_PROGRESS_MS = 50;

    /** Time of something that has not happened. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private double reported = USUAL;
    private long reportedAtMs = NEVER;
    private double observed = USUAL;
    private long observedAtMs = NEVER;
    /** Number of observations, of which earlier ones have decayed. */
    private double samples;

    private double stalled = USUAL;
    private long stalledAtMs = NEVER;

    /** Records the slowdown that the server reports; values that are not positive are ignored. */
    void report(int percent, long nowMs) {
        if (percent > 0) {
            reported = clamp(percent / PERCENT);
            reportedAtMs = nowMs;
        }
    }

    /** Records the time to the first event of a response and the time that a typical server needs for it. */
    void observeFirstEvent(double tookMs, double expectedMs, double decayMs, long nowMs) {
        observe(ratio(tookMs, expectedMs, FIRST_EVENT_NOISE_MS), FIRST_EVENT_SMOOTHING, decayMs, nowMs);
    }

    /** Records the time between two events and the average time on the servers of the service. */
    void observeGap(double gapMs, double expectedMs, double decayMs, long nowMs) {
        observe(ratio(gapMs, expectedMs, GAP_NOISE_MS), GAP_SMOOTHING, decayMs, nowMs);
    }

    /**
     * Records that the requests in flight have made no progress for a time. Sets a minimum of the slowdown, whatever
     * the server reports; it decays from the end of the stall or of those requests.
     */
    void observeStall(double stallMs, double expectedMs, double decayMs, long nowMs) {
        double slowdown = stallMs / (STALL_TOLERANCE * Math.max(expectedMs, MIN_EXPECTED_PROGRESS_MS));
        if (slowdown > current(stalled, stalledAtMs, decayMs, nowMs)) {
            stalled = Math.min(MAX_SLOWDOWN, slowdown);
            stalledAtMs = nowMs;
        }
    }

    /** Discards what is known, after a restart of the server. */
    void reset() {
        reportedAtMs = NEVER;
        observedAtMs = NEVER;
        stalledAtMs = NEVER;
    }

    /** Returns the slowdown according to the report alone, 1 without a recent one. */
    double reportedSlowdown(double decayMs, long nowMs) {
        return current(reported, reportedAtMs, decayMs, nowMs);
    }

    /** Returns the estimated slowdown. Its excess over 1 falls to a third within the decay time of its inputs. */
    double slowdown(double decayMs, long nowMs) {
        double reportWeight = weight(reportedAtMs, decayMs, nowMs);
        double observationWeight = weight(observedAtMs, decayMs, nowMs);
        double total = reportWeight + OBSERVATION_WEIGHT * observationWeight;
        double excess = total == 0
                ? 0
                : (reportWeight * (reported - USUAL) + OBSERVATION_WEIGHT * observationWeight * observedExcess())
                        / total;
        double estimate = USUAL + excess * Math.max(reportWeight, observationWeight);
        return stalledAtMs == NEVER ? estimate : Math.max(estimate, current(stalled, stalledAtMs, decayMs, nowMs));
    }

    /** Returns the time of the last report in milliseconds, far in the past if there is none. */
    long reportedAtMs() {
        return reportedAtMs;
    }

    /** Returns the time of the last observation in milliseconds, far in the past if there is none. */
    long observedAtMs() {
        return observedAtMs;
    }

    private void observe(double ratio, double smoothing, double decayMs, long nowMs) {
        double before = current(observed, observedAtMs, decayMs, nowMs);
        samples = samples * weight(observedAtMs, decayMs, nowMs) + 1;
        observed = before + (ratio - before) * smoothing;
        observedAtMs = nowMs;
    }

    /**
     * Returns by how much the observed slowdown exceeds the usual differences. A server counts as faster than the
     * others only by its own report: short responses may be short for other reasons.
     */
    private double observedExcess() {
        double confidence = Math.min(1, (samples - 1) / (CONFIDENT_SAMPLES - 1));
        return observed < MIN_OBSERVED_SLOWDOWN ? 0 : confidence * (observed - USUAL);
    }

    private static double current(double slowdown, long atMs, double decayMs, long nowMs) {
        return USUAL + (slowdown - USUAL) * weight(atMs, decayMs, nowMs);
    }

    private static double weight(long atMs, double decayMs, long nowMs) {
        return atMs == NEVER ? 0 : Math.exp(-Math.max(0, nowMs - atMs) / decayMs);
    }

    private static double ratio(double tookMs, double expectedMs, double noiseMs) {
        return clamp((tookMs + noiseMs) / (expectedMs + noiseMs));
    }

    private static double clamp(double slowdown) {
        return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown));
    }
}
