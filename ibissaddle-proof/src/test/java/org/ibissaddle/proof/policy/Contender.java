package org.ibissaddle.proof.policy;

import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Placements;
import org.ibissaddle.placement.Tuning;

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
            case WEIGHTED -> Placements.weighted(Tuning.defaults());
            case ROUND_ROBIN -> Placements.roundRobin();
            case LEAST_OUTSTANDING -> Placements.leastOutstanding();
            case HOME_ONLY -> Placements.homeOnly();
            case ALWAYS_SPILL -> Placements.alwaysSpill();
            case PREFIX_AFFINITY -> Placements.prefixAffinity();
        };
    }
}
