package org.ibissaddle.backend;

import java.util.OptionalDouble;

/** Estimates the prefill speed of the servers of a service and the time between events of their streams. */
final class EngineSpeedEstimate {
    /** Prefill time assumed before the first sample: 60 tokens per millisecond, the speed of a mid-sized engine. */
    private static final double INITIAL_PREFILL_MS_PER_TOKEN = 1.0 / 60;

    /** Time between events of an idle engine assumed before the first sample, in milliseconds. */
    private static final double INITIAL_IDLE_GAP_MS = 30;

    private static final double SMOOTHING = 0.05;
    /** Weight of samples above the idle gap. Small, so that gaps caused by load do not raise the idle gap. */
    private static final double IDLE_GAP_RISE_SMOOTHING = 0.001;
    /** Weight of samples above the typical time, relative to those below it. */
    private static final double RISE_WEIGHT = 0.25;
    /** Samples with fewer tokens are dominated by fixed overhead and update only that estimate. */
    private static final long MIN_PREFILL_SAMPLE_TOKENS = 2_000;

    private double prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
    private double fixedOverheadMs;
    private double idleGapMs = INITIAL_IDLE_GAP_MS;
    private double shortFirstEventMs;
    private long shortFirstEvents;
    private double typicalGapMs;
    private long gaps;
    private final PrefillBudget prefillBudget = new PrefillBudget();
    private double uncachedTokens;
    private double outputTokens;
    private long demands;

    void observePrefill(long tokens, long tookMs) {
        if (tokens < MIN_PREFILL_SAMPLE_TOKENS) {
            shortFirstEvents++;
            shortFirstEventMs = typical(shortFirstEventMs, (double) tookMs, shortFirstEvents);
            fixedOverheadMs += (tookMs - fixedOverheadMs) * SMOOTHING;
            return;
        }
        double observed = Math.max(0, tookMs - fixedOverheadMs) / tokens;
        prefillMsPerToken += (observed - prefillMsPerToken) * SMOOTHING;
    }

    void observeGap(double gapMs) {
        gaps++;
        typicalGapMs = typical(typicalGapMs, gapMs, gaps);
        idleGapMs = gapMs < idleGapMs
                ? idleGapMs + (gapMs - idleGapMs) * SMOOTHING
                : idleGapMs + (gapMs - idleGapMs) * IDLE_GAP_RISE_SMOOTHING;
    }

    /** Returns the limit of the prefill in flight at an engine of the service. */
    PrefillBudget prefillBudget() {
        return prefillBudget;
    }

    /** Records the uncached prompt tokens and the output tokens of a request that is sent to an engine. */
    void observeDemand(int uncached, int output) {
        demands++;
        double weight = Math.max(SMOOTHING, 1.0 / demands);
        uncachedTokens += (uncached - uncachedTokens) * weight;
        outputTokens += (output - outputTokens) * weight;
    }

    /** Returns the average number of uncached prompt tokens of a request. */
    double uncachedTokens() {
        return uncachedTokens;
    }

    /** Returns the fraction of its time at an idle engine for which an average request is in prefill. */
    double prefillFraction(int tokensPerEvent) {
        double prefillMs = prefillMs(uncachedTokens);
        double decodeMs = outputTokens / Math.max(1, tokensPerEvent) * idleGapMs;
        return prefillMs == 0 ? 0 : prefillMs / (prefillMs + decodeMs);
    }

    /** Returns the time between events of an idle engine in milliseconds. */
    double idleGapMs() {
        return idleGapMs;
    }

    /**
     * Returns the time between events of a server of the usual speed under the current load in milliseconds, empty
     * without a sample.
     */
    OptionalDouble typicalGapMs() {
        return gaps == 0 ? OptionalDouble.empty() : OptionalDouble.of(typicalGapMs);
    }

    /**
     * Predicts the time to the first event of a response in milliseconds; for a plain service the response time.
     *
     * @return empty without a sample of a short prompt
     */
    OptionalDouble firstEventMs(long tokensAhead) {
        if (shortFirstEvents == 0) {
            return OptionalDouble.empty();
        }
        double prefillMs = tokensAhead < MIN_PREFILL_SAMPLE_TOKENS ? 0 : prefillMs((double) tokensAhead);
        return OptionalDouble.of(shortFirstEventMs + prefillMs);
    }

    /**
     * Updates the time of a server of the usual speed: the average of all samples at first, then a moving one. Samples
     * above it have less weight, so that slow servers do not become the standard by which they are judged.
     */
    private static double typical(double beforeMs, double sampleMs, long samples) {
        double weight = Math.max(SMOOTHING, 1.0 / samples);
        boolean above = sampleMs > beforeMs && samples > 1;
        return beforeMs + (sampleMs - beforeMs) * weight * (above ? RISE_WEIGHT : 1);
    }

    /** Predicts the prefill time of a number of tokens in milliseconds. */
    double prefillMs(double tokens) {
        return tokens * prefillMsPerToken;
    }
}
