package org.ibissaddle.proof.requests;

import java.util.function.BooleanSupplier;

/** Waits for conditions, so that no test depends on how fast the machine is. */
final class Waiting {
    private static final long LIMIT_MS = 60_000;
    private static final long POLL_MS = 20;

    private Waiting() {}

    static void until(String what, BooleanSupplier condition) {
        long untilMs = System.currentTimeMillis() + LIMIT_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > untilMs) {
                throw new AssertionError("waited in vain until " + what);
            }
            pause(POLL_MS);
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }
}
