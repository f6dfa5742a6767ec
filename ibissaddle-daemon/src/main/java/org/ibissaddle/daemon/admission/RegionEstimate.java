package org.ibissaddle.daemon.admission;

import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.port.Clock;

/** Estimates the load of the own region, for other regions that may send work here. */
public final class RegionEstimate {
    private final SharedState state;
    private final WeightedPolicy policy;
    private final Clock clock;

    /**
     * Creates the estimate of an instance.
     *
     * @param state note and beliefs
     * @param policy knows the own work
     * @param clock source of time
     */
    public RegionEstimate(SharedState state, WeightedPolicy policy, Clock clock) {
        this.state = state;
        this.policy = policy;
        this.clock = clock;
    }

    /** Is told of an estimate. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Takes an estimate in.
         *
         * @param load predicted wait over target, 1 is full
         * @param spare capacity offered to other regions, tokens per second
         */
        void estimated(double load, double spare);
    }

    /**
     * Tells the current estimate: the load of the fullest model pool, and the spare capacity of all of them.
     *
     * @param listener is told, once a note is in force
     */
    public void tell(Listener listener) {
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
        listener.estimated(load, spare);
    }
}
