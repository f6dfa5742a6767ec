package org.ibissaddle.daemon.admission;

import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.port.Clock;

/** Estimates the load of the local region, for other regions that may forward work to it. */
public final class RegionLoadEstimator {
    private final SharedState state;
    private final WeightedPolicy policy;
    private final Clock clock;

    /**
     * Creates the estimator of an instance.
     *
     * @param state current release note and fleet view
     * @param policy forecasts the load of each pool
     * @param clock time source
     */
    public RegionLoadEstimator(SharedState state, WeightedPolicy policy, Clock clock) {
        this.state = state;
        this.policy = policy;
        this.clock = clock;
    }

    /** Receives load estimates. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Receives an estimate.
         *
         * @param load predicted wait divided by the target wait; 1 means full
         * @param spare capacity offered to other regions, tokens per second
         */
        void onEstimate(double load, double spare);
    }

    /**
     * Reports the current estimate: the highest load of any model pool and the total spare capacity of all model pools.
     * Does nothing until a release note is active.
     *
     * @param listener receives the estimate
     */
    public void report(Listener listener) {
        if (state.note().isEmpty()) {
            return;
        }
        ReleaseNote note = state.note().get();
        double load = 0;
        double spare = 0;
        for (Pool pool : note.pools().values()) {
            if (pool.kind() != PoolKind.MODEL) {
                continue;
            }
            WeightedPolicy.Forecast forecast = policy.forecast(pool.id(), note, state.fleet(), clock.nowMs());
            load = Math.max(load, forecast.load());
            spare += forecast.spareTokensPerSecond();
        }
        listener.onEstimate(load, spare);
    }
}
