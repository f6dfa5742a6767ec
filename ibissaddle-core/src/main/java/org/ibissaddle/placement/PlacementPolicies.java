package org.ibissaddle.placement;

import org.ibissaddle.internal.placement.BaselinePolicy;
import org.ibissaddle.internal.placement.DefaultWeightedPolicy;

/** Factory methods for the production placement policy and the baseline policies that it is compared with. */
public final class PlacementPolicies {
    private PlacementPolicies() {}

    /**
     * Creates the production policy.
     *
     * @param tuning tuning constants of the policy
     * @return a policy without any learned state
     */
    public static WeightedPolicy weighted(PlacementTuning tuning) {
        return new DefaultWeightedPolicy(tuning);
    }

    /**
     * Creates a policy that uses the servers of the local region in round-robin order.
     *
     * @return the policy
     */
    public static PlacementPolicy roundRobin() {
        return new BaselinePolicy(BaselinePolicy.Rule.ROUND_ROBIN);
    }

    /**
     * Creates a policy that selects the local region's server with the fewest requests outstanding from this instance.
     *
     * @return the policy
     */
    public static PlacementPolicy leastOutstanding() {
        return new BaselinePolicy(BaselinePolicy.Rule.LEAST_OUTSTANDING);
    }

    /**
     * Creates a policy that selects the local region's server with the fewest reported requests and never forwards.
     *
     * @return the policy
     */
    public static PlacementPolicy leastReported() {
        return new BaselinePolicy(BaselinePolicy.Rule.LEAST_REPORTED);
    }

    /**
     * Creates a policy that forwards unbound work to the least loaded region regardless of cost.
     *
     * @return the policy
     */
    public static PlacementPolicy alwaysSpill() {
        return new BaselinePolicy(BaselinePolicy.Rule.ALWAYS_SPILL);
    }

    /**
     * Creates a policy that selects the local region's server by the hash of the prompt's first block, regardless of
     * load.
     *
     * @return the policy
     */
    public static PlacementPolicy prefixAffinity() {
        return new BaselinePolicy(BaselinePolicy.Rule.PREFIX_AFFINITY);
    }
}
