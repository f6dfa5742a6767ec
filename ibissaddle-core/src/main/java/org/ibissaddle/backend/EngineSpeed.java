package org.ibissaddle.backend;

/** Learns how long the servers of a service take to read prompts and to make events. */
final class EngineSpeed {
    /** Until something is known: 60 tokens a millisecond, the speed of a mid-sized engine. */
    private static final double FIRST_GUESS_MS_PER_TOKEN = 1.0 / 60;

    /** Until something is known: the pause between events of an engine with little to do, milliseconds. */
    private static final double FIRST_GUESS_GAP_MS = 30;

    private static final double SMOOTHING = 0.05;
    /** How slowly the quiet pause follows longer ones, so that load doesn't pass for it. */
    private static final double QUIET_SMOOTHING = 0.001;
    /** Shorter prompts say more about fixed costs than about speed. */
    private static final long MIN_TOKENS = 2_000;

    private double msPerToken = FIRST_GUESS_MS_PER_TOKEN;
    private double baseMs;
    private double quietGapMs = FIRST_GUESS_GAP_MS;

    void observe(long tokens, long tookMs) {
        if (tokens < MIN_TOKENS) {
            baseMs += (tookMs - baseMs) * SMOOTHING;
            return;
        }
        double observed = Math.max(0, tookMs - baseMs) / tokens;
        msPerToken += (observed - msPerToken) * SMOOTHING;
    }

    void observeGap(double gapMs) {
        quietGapMs = gapMs < quietGapMs
                ? quietGapMs + (gapMs - quietGapMs) * SMOOTHING
                : quietGapMs + (gapMs - quietGapMs) * QUIET_SMOOTHING;
    }

    /** Pause between events of an engine with little to do, milliseconds. */
    double quietGapMs() {
        return quietGapMs;
    }

    /** Time to read tokens, milliseconds. */
    double readMs(double tokens) {
        return tokens * msPerToken;
    }
}
