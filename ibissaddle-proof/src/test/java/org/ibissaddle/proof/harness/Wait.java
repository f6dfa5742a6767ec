package org.ibissaddle.proof.harness;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Polls conditions with a timeout. */
public final class Wait {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_MS = 20;

    private Wait() {}

    /** Waits until a condition is true; an exception from the condition counts as false. */
    public static void until(String description, Callable<Boolean> condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        Exception lastFailure = null;
        while (System.nanoTime() < deadlineNanos) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                lastFailure = e;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        throw new AssertionError("condition not met within " + TIMEOUT + ": " + description, lastFailure);
    }
}
