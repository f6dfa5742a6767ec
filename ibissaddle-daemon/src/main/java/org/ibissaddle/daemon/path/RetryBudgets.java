package org.ibissaddle.daemon.path;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.PoolId;

/** Retry budgets of an instance, one per pool. */
public final class RetryBudgets {
    private static final double RETRY_RATIO = 0.2;
    /** Maximum number of accumulated retries of a pool, over all instances. */
    private static final int MAX_SAVED_RETRIES = 256;

    private final SharedState state;
    private final Map<PoolId, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Creates full budgets.
     *
     * @param state state of the instance, whose fleet view holds the number of instances
     */
    public RetryBudgets(SharedState state) {
        this.state = state;
    }

    /**
     * Returns the retry budget of a pool, creating it on first use.
     *
     * @param pool the pool
     * @return the budget of the pool
     */
    public RetryBudget of(PoolId pool) {
        return budgets.computeIfAbsent(pool, id -> RetryBudget.of(RETRY_RATIO, this::maxSavedRetries));
    }

    /** Returns the part of the accumulated retries that this instance may use; at least one. */
    private int maxSavedRetries() {
        int instances = state.fleet().peers().size() + 1;
        return Math.max(1, MAX_SAVED_RETRIES / instances);
    }
}
