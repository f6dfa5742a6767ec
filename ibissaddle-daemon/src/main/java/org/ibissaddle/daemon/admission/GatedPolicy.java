package org.ibissaddle.daemon.admission;

import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;

/** Tells the admission gate whenever a pool's load falls. */
public final class GatedPolicy implements PlacementPolicy {
    private final PlacementPolicy policy;
    private final AdmissionGate gate;

    /**
     * Wraps a policy.
     *
     * @param policy decides
     * @param gate lets waiting requests through
     */
    public GatedPolicy(PlacementPolicy policy, AdmissionGate gate) {
        this.policy = policy;
        this.gate = gate;
    }

    @Override
    public Placement place(Work work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        return policy.place(work, note, fleet, nowMs, random);
    }

    @Override
    public Running started(Work work, Placement placement, long nowMs) {
        return new Gated(policy.started(work, placement, nowMs), work.pool(), gate);
    }

    private record Gated(Running running, PoolId pool, AdmissionGate gate) implements Running {
        @Override
        public void firstToken(long nowMs) {
            running.firstToken(nowMs);
            gate.advance(pool);
        }

        @Override
        public void generated(int tokens) {
            running.generated(tokens);
        }

        @Override
        public void ended(boolean succeeded, long nowMs) {
            running.ended(succeeded, nowMs);
            gate.advance(pool);
        }
    }
}
