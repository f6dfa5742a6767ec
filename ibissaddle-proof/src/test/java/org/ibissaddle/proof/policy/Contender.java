package org.ibissaddle.proof.policy;

import org.ibissaddle.placement.PlacementPolicies;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementTuning;

/** A policy in the comparison. */
enum Contender {
    WEIGHTED,
    ROUND_ROBIN,
    LEAST_OUTSTANDING,
    HOME_ONLY,
    ALWAYS_SPILL,
    PREFIX_AFFINITY;

    /** Makes the policy anew. */
    PlacementPolicy make() {
        return switch (this) {
            case WEIGHTED -> PlacementPolicies.weighted(PlacementTuning.defaults());
            case ROUND_ROBIN -> PlacementPolicies.roundRobin();
            case LEAST_OUTSTANDING -> PlacementPolicies.leastOutstanding();
            case HOME_ONLY -> PlacementPolicies.homeOnly();
            case ALWAYS_SPILL -> PlacementPolicies.alwaysSpill();
            case PREFIX_AFFINITY -> PlacementPolicies.prefixAffinity();
        };
    }
}
