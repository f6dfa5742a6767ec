package org.ibissaddle.proof.policy;

import java.util.function.Supplier;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Placements;
import org.ibissaddle.placement.Tuning;

/** A policy in the comparison. */
enum Contender {
    WEIGHTED(() -> Placements.weighted(Tuning.defaults())),
    ROUND_ROBIN(Placements::roundRobin),
    LEAST_OUTSTANDING(Placements::leastOutstanding),
    HOME_ONLY(Placements::homeOnly),
    ALWAYS_SPILL(Placements::alwaysSpill),
    PREFIX_AFFINITY(Placements::prefixAffinity);

    final Supplier<PlacementPolicy> made;

    Contender(Supplier<PlacementPolicy> made) {
        this.made = made;
    }
}
