package org.ibissaddle.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;

/** Outcomes of the last contacts with others, from which an instance tells that it is itself cut off. */
final class Contacts {
    private static final int REMEMBERED = 12;
    private static final int MIN_FAILURES = 3;
    private static final long WINDOW_MS = 10_000;

    private final Deque<Outcome> outcomes = new ArrayDeque<>();

    void add(boolean succeeded, long nowMs) {
        outcomes.addLast(new Outcome(succeeded, nowMs + WINDOW_MS));
        if (outcomes.size() > REMEMBERED) {
            outcomes.removeFirst();
        }
    }

    /** Tells whether so few contacts succeed that the fault is more likely here than there. */
    boolean isolated(long nowMs) {
        int failures = 0;
        int successes = 0;
        for (Outcome outcome : outcomes) {
            if (outcome.untilMs() <= nowMs) {
                continue;
            }
            if (outcome.succeeded()) {
                successes++;
            } else {
                failures++;
            }
        }
        return failures >= MIN_FAILURES && successes * 3 < failures;
    }

    private record Outcome(boolean succeeded, long untilMs) {}
}
