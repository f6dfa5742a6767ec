package org.ibissaddle.daemon.path;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.PoolId;

/** Retry budgets of an instance, one per pool. */
public final class RetryBudgets {
    private static final double RETRY_RATIO = 0.2;
    private static final int MAX_SAVED_RETRIES = 256;

    private final Map<PoolId, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Returns the retry budget of a pool, creating it on first use.
     *
     * @param pool the pool
     * @return the budget of the pool
     */
    public RetryBudget of(PoolId pool) {
        return budgets.computeIfAbsent(pool, id -> RetryBudget.of(RETRY_RATIO, MAX_SAVED_RETRIES));
    }
}
