package org.ibissaddle.placement;

import org.ibissaddle.internal.placement.BaselinePolicy;
import org.ibissaddle.internal.placement.DefaultWeightedPolicy;

/** Makes placement policies: the production one, and the plain ones that it is measured against. */
public final class Placements {
    private Placements() {}

    /**
     * The production policy.
     *
     * @param tuning its constants
     * @return a policy that knows nothing yet
     */
    public static WeightedPolicy weighted(Tuning tuning) {
        return new DefaultWeightedPolicy(tuning);
    }

    /**
     * Gives each server of the region its turn.
     *
     * @return the policy
     */
    public static PlacementPolicy roundRobin() {
        return new BaselinePolicy(BaselinePolicy.Rule.ROUND_ROBIN);
    }

    /**
     * Takes the server of the region with the fewest own requests outstanding.
     *
     * @return the policy
     */
    public static PlacementPolicy leastOutstanding() {
        return new BaselinePolicy(BaselinePolicy.Rule.LEAST_OUTSTANDING);
    }

    /**
     * Takes the server of the region with the least reported work, and never another region.
     *
     * @return the policy
     */
    public static PlacementPolicy homeOnly() {
        return new BaselinePolicy(BaselinePolicy.Rule.LEAST_REPORTED);
    }

    /**
     * Sends unbound work to the least loaded region whatever it costs.
     *
     * @return the policy
     */
    public static PlacementPolicy alwaysSpill() {
        return new BaselinePolicy(BaselinePolicy.Rule.ALWAYS_SPILL);
    }

    /**
     * Takes the server of the region that the first block of the prompt is hashed to, whatever its load.
     *
     * @return the policy
     */
    public static PlacementPolicy prefixAffinity() {
        return new BaselinePolicy(BaselinePolicy.Rule.PREFIX_AFFINITY);
    }
}
