package org.ibissaddle.proof.policy;

import org.ibissaddle.placement.PlacementPolicies;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementTuning;

/** A placement policy that takes part in the comparison. */
enum CandidatePolicy {
    WEIGHTED,
    ROUND_ROBIN,
    LEAST_OUTSTANDING,
    HOME_ONLY,
    ALWAYS_SPILL,
    PREFIX_AFFINITY;

    /** Creates a new instance of the policy. */
    PlacementPolicy createPolicy() {
        return switch (this) {
            case WEIGHTED -> PlacementPolicies.weighted(PlacementTuning.defaults());
            case ROUND_ROBIN -> PlacementPolicies.roundRobin();
            case LEAST_OUTSTANDING -> PlacementPolicies.leastOutstanding();
            case HOME_ONLY -> PlacementPolicies.leastReported();
            case ALWAYS_SPILL -> PlacementPolicies.alwaysSpill();
            case PREFIX_AFFINITY -> PlacementPolicies.prefixAffinity();
        };
    }
}
