package org.ibissaddle.dispatch;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

/**
 * Limits the retries or hedged requests of a pool to a fraction of its calls, so that retries do not overload a failing
 * pool. A token bucket: each call adds a fraction of a token, and each retry consumes a whole one. Thread-safe.
 */
public final class RetryBudget {
    /** One token, scaled so that fractions of a token are integers. */
    private static final long SCALED_TOKEN = 1_000;

    private final long refill;
    private final IntSupplier burst;
    /** Tokens that are used and not yet added again; the rest of the capacity is available. */
    private final AtomicLong used = new AtomicLong();

    private RetryBudget(long refill, IntSupplier burst) {
        this.refill = refill;
        this.burst = burst;
    }

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed per call, 0 to 1
     * @param burst maximum number of accumulated retries
     * @return the budget
     */
    public static RetryBudget of(double ratio, int burst) {
        return of(ratio, () -> burst);
    }

    /**
     * Creates a full budget whose burst varies, for example with the number of instances that share it. When the burst
     * grows, so do the available retries.
     *
     * @param ratio retries allowed per call, 0 to 1
     * @param burst maximum number of accumulated retries at the time of the call
     * @return the budget
     */
    public static RetryBudget of(double ratio, IntSupplier burst) {
        return new RetryBudget(Math.round(ratio * SCALED_TOKEN), burst);
    }

    /** Records a call that is not a retry. */
    public void recordCall() {
        used.accumulateAndGet(refill, (tokens, added) -> Math.max(0, tokens - added));
    }

    /**
     * Takes a token for one retry.
     *
     * @return whether a token was available
     */
    public boolean tryAcquire() {
        long capacity = burst.getAsInt() * SCALED_TOKEN;
        while (true) {
            long tokens = used.get();
            if (tokens + SCALED_TOKEN > capacity) {
                return false;
            }
            if (used.compareAndSet(tokens, tokens + SCALED_TOKEN)) {
                return true;
            }
        }
    }
}
