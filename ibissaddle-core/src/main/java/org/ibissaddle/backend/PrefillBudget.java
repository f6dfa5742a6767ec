package org.ibissaddle.backend;

import java.util.Arrays;

/**
 * Limits the prefill in flight at an engine so that short prompts there can still meet their objectives.
 *
 * <p>An engine prefills prompts in chunks, the most urgent first and those of equal urgency in the order of their
 * arrival. A long prompt thus delays the short ones of equal urgency that arrive after it, by all of its prefill, and
 * more urgent ones by a chunk at a time. Short prompts arrive all the time, so the objectives of the recent ones stand
 * for those that will wait behind the long one.
 */
final class PrefillBudget {
    /** Prompts with at most this many uncached tokens are short: engines prefill them in one chunk. */
    static final int CHUNK_TOKENS = 1_000;
    /** Maximum prefill backlog of this instance at an engine, if no objective of short prompts is known. */
    static final double MAX_BACKLOG_MS = 1_000;

    /**
     * Share of the objective of short prompts of equal urgency that prefill may use; the rest is for their own work.
     */
    private static final double EQUAL_URGENCY_SHARE = 0.5;
    /** The same for more urgent short prompts, which wait for a chunk only unless the engine ignores priorities. */
    private static final double MORE_URGENT_SHARE = 1;
    /** Prefill in front of a long prompt, relative to its own, that is accepted whatever the objectives are. */
    private static final double ALWAYS_ACCEPTED_SHARE = 0.25;
    /** Time in milliseconds for which the objective of a short prompt counts. */
    private static final long OBJECTIVE_AGE_MS = 5_000;
    /** Number of priorities that are told apart, as by the engines. */
    private static final int LEVELS = 10;

    /** Shortest objectives of the current and of the previous period, by priority. */
    private double[] current = unlimited();

    private double[] previous = unlimited();
    private long periodEndMs;

    /** Records a short prompt that a server is chosen for. */
    void recordShort(RequestTerms terms, long nowMs) {
        rotate(nowMs);
        int level = level(terms);
        current[level] = Math.min(current[level], (double) terms.objectiveMs());
    }

    /** Returns the maximum prefill in flight at an engine, that of a long prompt included, in milliseconds. */
    double limitMs(RequestTerms longPrompt, double prefillMs, long nowMs) {
        rotate(nowMs);
        int level = level(longPrompt);
        double limitMs = MAX_BACKLOG_MS;
        for (int i = 0; i <= level; i++) {
            double share = i == level ? EQUAL_URGENCY_SHARE : MORE_URGENT_SHARE;
            limitMs = Math.min(limitMs, share * Math.min(current[i], previous[i]));
        }
        return Math.max(limitMs, prefillMs * (1 + ALWAYS_ACCEPTED_SHARE));
    }

    private void rotate(long nowMs) {
        if (nowMs < periodEndMs) {
            return;
        }
        previous = nowMs < periodEndMs + OBJECTIVE_AGE_MS ? current : unlimited();
        current = unlimited();
        periodEndMs = nowMs + OBJECTIVE_AGE_MS;
    }

    private static int level(RequestTerms terms) {
        return Math.min(LEVELS - 1, Math.max(0, terms.priority()));
    }

    private static double[] unlimited() {
        double[] objectives = new double[LEVELS];
        Arrays.fill(objectives, Double.MAX_VALUE);
        return objectives;
    }
}
