package org.ibissaddle.placement;

import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;

/**
 * The production policy: estimates the time to the first token on each candidate and weighs it against cost and share.
 *
 * <pre>{@code
 * WeightedPolicy policy = Placements.weighted(Tuning.defaults());
 * Placement placement = policy.place(work, note, fleet, nowMs, random);
 * PlacementPolicy.Running running = policy.started(work, placement, nowMs);
 * running.firstToken(laterMs);
 * running.ended(true, atEndMs);
 * }</pre>
 */
public interface WeightedPolicy extends PlacementPolicy {
    /**
     * Predicts how long a request would wait for its first token in the own region.
     *
     * @param work the request
     * @param note the note in force
     * @param fleet current beliefs
     * @param nowMs current time, epoch milliseconds
     * @return milliseconds; infinite when no server can take it
     */
    double predictedWaitMs(Work work, ReleaseNote note, FleetView fleet, long nowMs);

    /**
     * Sums up a pool of the own region, for the instance's own report to its peers.
     *
     * @param pool the pool
     * @param note the note in force
     * @param fleet current beliefs
     * @param nowMs current time, epoch milliseconds
     * @return load and spare capacity
     */
    Forecast forecast(PoolId pool, ReleaseNote note, FleetView fleet, long nowMs);

    /**
     * Notes how long requests wait at this instance before they are given to a server. It counts when work is to be
     * sent away or taken from another region, and in the forecast.
     *
     * @param pool the pool
     * @param waitMs milliseconds, as by {@link org.ibissaddle.admission.Admission#queueWaitMs}
     */
    void queueWait(PoolId pool, double waitMs);

    /**
     * Notes that a server published the storing or eviction of a prefix block.
     *
     * @param server the server
     * @param block the block's hash
     * @param stored whether it was stored rather than evicted
     * @param nowMs current time, epoch milliseconds
     */
    void cacheEvent(ServerId server, long block, boolean stored, long nowMs);

    /**
     * Notes that cache events of a server are missing, so that what is believed of its cache counts less.
     *
     * @param server the server
     */
    void cacheGap(ServerId server);

    /**
     * A pool as seen by one instance.
     *
     * @param load predicted wait for the first token over its target; 1 is full
     * @param spareTokensPerSecond capacity that may be offered to other regions, tokens per second
     * @param hitRate mean share of prompt tokens found in the prefix caches, 0 to 1
     * @param ejected servers that get no work because they failed
     */
    record Forecast(double load, double spareTokensPerSecond, double hitRate, int ejected) {}
}
