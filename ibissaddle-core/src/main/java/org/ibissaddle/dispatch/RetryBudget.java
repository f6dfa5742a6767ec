package org.ibissaddle.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the retries or hedges of a pool to a share of its calls, so that a failing pool is not loaded further. Each
 * call adds its share; each retry takes one whole unit.
 */
public final class RetryBudget {
    private static final long UNIT = 1_000;

    private final long share;
    private final long max;
    private final AtomicLong left;

    private RetryBudget(long share, long max) {
        this.share = share;
        this.max = max;
        left = new AtomicLong(max);
    }

    /**
     * Makes a full budget.
     *
     * @param share retries for each call, 0 to 1
     * @param burst most retries that can be saved up
     * @return the budget
     */
    public static RetryBudget of(double share, int burst) {
        return new RetryBudget(Math.round(share * UNIT), burst * UNIT);
    }

    /** Notes a call that was not a retry. */
    public void called() {
        left.accumulateAndGet(share, (have, more) -> Math.min(max, have + more));
    }

    /**
     * Takes one retry.
     *
     * @return whether there was one
     */
    public boolean take() {
        while (true) {
            long have = left.get();
            if (have < UNIT) {
                return false;
            }
            if (left.compareAndSet(have, have - UNIT)) {
                return true;
            }
        }
    }
}
