package org.ibissaddle.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;

/** Outcomes of recent contacts with peers and servers, used to detect that the local instance itself is isolated. */
final class ContactHistory {
    private static final int MAX_OUTCOMES = 12;
    private static final int MIN_FAILURES = 3;
    private static final long WINDOW_MS = 10_000;

    private final Deque<ContactOutcome> outcomes = new ArrayDeque<>();

    void add(boolean succeeded, long nowMs) {
        outcomes.addLast(new ContactOutcome(succeeded, nowMs + WINDOW_MS));
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.removeFirst();
        }
    }

    /** Returns whether so few recent contacts succeeded that the local instance is the more likely cause. */
    boolean isolated(long nowMs) {
        int failures = 0;
        int successes = 0;
        for (ContactOutcome outcome : outcomes) {
            if (outcome.expiresAtMs() <= nowMs) {
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

    private record ContactOutcome(boolean succeeded, long expiresAtMs) {}
}
