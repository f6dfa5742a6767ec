package org.ibissaddle.proof.requests;

import java.util.function.BooleanSupplier;

/** Polls conditions with a long timeout, so that tests do not depend on the speed of the machine. */
final class Polling {
    private static final long TIMEOUT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 20;

    private Polling() {}

    static void until(String description, BooleanSupplier condition) {
        long deadlineMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > deadlineMs) {
                throw new AssertionError("timed out waiting until " + description);
            }
            sleep(POLL_INTERVAL_MS);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted while waiting", e);
        }
    }
}
