package org.ibissaddle.placement;

import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;

/**
 * The production policy. It estimates the time to the first token for each candidate and balances it against cost and
 * the share of forwarded work.
 *
 * <pre>{@code
 * WeightedPolicy policy = PlacementPolicies.weighted(PlacementTuning.defaults());
 * Placement placement = policy.place(request, note, fleet, nowMs, random);
 * PlacementPolicy.DispatchHandle handle = policy.recordDispatch(request, placement, nowMs);
 * handle.firstToken(laterMs);
 * handle.completed(true, atEndMs);
 * }</pre>
 */
public interface WeightedPolicy extends PlacementPolicy {
    /**
     * Predicts the time to the first token of a request in the local region.
     *
     * @param request the request
     * @param note the release note in force
     * @param fleet current view of the fleet
     * @param nowMs current time, epoch milliseconds
     * @return milliseconds; infinite when no server can serve the request
     */
    double predictedWaitMs(PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs);

    /**
     * Summarizes a pool of the local region for the load report to peers.
     *
     * @param pool the pool
     * @param note the release note in force
     * @param fleet current view of the fleet
     * @param nowMs current time, epoch milliseconds
     * @return load, spare capacity, cache hit rate and number of ejected servers
     */
    Forecast forecast(PoolId pool, ReleaseNote note, FleetView fleet, long nowMs);

    /**
     * Updates the time that requests are queued at this instance before they are dispatched to a server. It is included
     * in the forecast and in decisions to forward work or to accept it from another region.
     *
     * @param pool the pool
     * @param waitMs milliseconds, as returned by {@link org.ibissaddle.admission.Admission#predictedQueueWaitMs}
     */
    void setQueueWaitMs(PoolId pool, double waitMs);

    /**
     * Records a cache event of a server: a prefix block was stored or evicted.
     *
     * @param server the server
     * @param block hash of the block
     * @param stored true if the block was stored, false if it was evicted
     * @param nowMs current time, epoch milliseconds
     */
    void recordCacheEvent(ServerId server, long block, boolean stored, long nowMs);

    /**
     * Records that cache events of a server were lost, which lowers the confidence in the index of its cache.
     *
     * @param server the server
     */
    void recordCacheEventLoss(ServerId server);

    /**
     * State of a pool as seen by one instance.
     *
     * @param load ratio of the predicted time to the first token to its target; 1 is full
     * @param spareTokensPerSecond capacity that may be offered to other regions, tokens per second
     * @param hitRate mean hit rate of the prefix caches by prompt tokens, 0 to 1
     * @param ejected number of servers that are ejected because of failures
     */
    record Forecast(double load, double spareTokensPerSecond, double hitRate, int ejected) {}
}
