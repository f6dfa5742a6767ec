package org.ibissaddle.proof.harness;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions. */
public final class Wait {
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final long PAUSE_MS = 20;

    private Wait() {}

    /** Waits until a condition holds; a condition that throws does not hold yet. */
    public static void until(String what, Callable<Boolean> condition) throws InterruptedException {
        long giveUpAt = System.nanoTime() + LONGEST.toNanos();
        Exception last = null;
        while (System.nanoTime() < giveUpAt) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                last = e;
            }
            Thread.sleep(PAUSE_MS);
        }
        throw new AssertionError("not reached within " + LONGEST + ": " + what, last);
    }
}
