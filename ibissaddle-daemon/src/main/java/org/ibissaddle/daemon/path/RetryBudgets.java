package org.ibissaddle.daemon.path;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.port.Clock;

/** Retry budgets of an instance, one per pool. */
public final class RetryBudgets {
    private static final double RETRY_RATIO = 0.2;
    /** Maximum number of accumulated retries of a pool in a window, over all instances and their restarts. */
    private static final int MAX_SAVED_RETRIES = 256;
    /** Window in which the retries before and after a restart add up. */
    private static final long WINDOW_MS = 10_000;
    /**
     * Time in which an instance accumulates its retries. It starts without any, since earlier runs may have used them.
     */
    private static final long SAVING_MS = 2 * WINDOW_MS;
    /** Time after the start in which the fleet view may lack running instances. */
    private static final long DISCOVERY_MS = 3_000;
    /** In a window, restarts in series add at most {@code WINDOW_MS / SAVING_MS} of these. */
    private static final int MAX_SAVED_RETRIES_WHEN_RUNNING =
            (int) (MAX_SAVED_RETRIES * SAVING_MS / (SAVING_MS + WINDOW_MS));

    private final SharedState state;
    private final Clock clock;
    private final long startedAtMs;
    private final Map<PoolId, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Creates the budgets of an instance that starts now.
     *
     * @param state state of the instance, whose fleet view holds the number of instances
     * @param clock source of time
     */
    public RetryBudgets(SharedState state, Clock clock) {
        this.state = state;
        this.clock = clock;
        this.startedAtMs = clock.nowMs();
    }

    /**
     * Returns the retry budget of a pool, creating it on first use.
     *
     * @param pool the pool
     * @return the budget of the pool
     */
    public RetryBudget of(PoolId pool) {
        return budgets.computeIfAbsent(
                pool,
                id -> RetryBudget.filling(
                        RETRY_RATIO, this::maxSavedRetries, clock, startedAtMs, DISCOVERY_MS, SAVING_MS));
    }

    /** Returns the part of the accumulated retries that this instance may use; at least one. */
    private int maxSavedRetries() {
        int instances = state.fleet().peers().size() + 1;
        return Math.max(1, MAX_SAVED_RETRIES_WHEN_RUNNING / instances);
    }
}
