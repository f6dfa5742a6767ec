package org.ibissaddle.daemon.path;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.PoolId;

/** Retry budgets of an instance, one for each pool. */
public final class RetryBudgets {
    private static final double SHARE = 0.2;
    private static final int BURST = 256;

    private final Map<PoolId, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Finds the budget of a pool.
     *
     * @param pool the pool
     * @return its budget
     */
    public RetryBudget of(PoolId pool) {
        return budgets.computeIfAbsent(pool, name -> RetryBudget.of(SHARE, BURST));
    }
}
