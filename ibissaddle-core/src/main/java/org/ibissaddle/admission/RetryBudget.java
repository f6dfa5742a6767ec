package org.ibissaddle.admission;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds retries to a share of the requests, so that retries never keep an overload alive. */
public final class RetryBudget {
    private static final long UNIT = 1_000;
    private static final long DEFAULT_PER_REQUEST = 100;
    private static final long DEFAULT_MOST = 10;

    private final long perRequest;
    private final long most;
    private final AtomicLong left;

    private RetryBudget(long perRequest, long most) {
        this.perRequest = perRequest;
        this.most = most * UNIT;
        left = new AtomicLong(this.most);
    }

    /**
     * A budget of one retry for ten requests, with ten saved up at most.
     *
     * @return the budget
     */
    public static RetryBudget standard() {
        return new RetryBudget(DEFAULT_PER_REQUEST, DEFAULT_MOST);
    }

    /**
     * A budget of a share of the requests.
     *
     * @param share retries per request, 0 to 1
     * @param most retries that can be saved up
     * @return the budget
     */
    public static RetryBudget of(double share, int most) {
        return new RetryBudget(Math.round(share * UNIT), most);
    }

    /** Notes a first attempt. */
    public void request() {
        left.updateAndGet(n -> Math.min(most, n + perRequest));
    }

    /**
     * Takes a retry out of the budget.
     *
     * @return whether the retry may be made
     */
    public boolean tryRetry() {
        return left.getAndUpdate(n -> n >= UNIT ? n - UNIT : n) >= UNIT;
    }
}
