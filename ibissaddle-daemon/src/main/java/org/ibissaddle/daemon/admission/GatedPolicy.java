package org.ibissaddle.daemon.admission;

import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;

/** Placement policy that notifies the admission gate when the load of a pool drops. */
public final class GatedPolicy implements PlacementPolicy {
    private final PlacementPolicy policy;
    private final AdmissionGate gate;

    /**
     * Wraps a policy.
     *
     * @param policy policy that makes the decisions
     * @param gate gate that admits waiting requests
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
        return new NotifyingRunning(policy.started(work, placement, nowMs), work.pool(), gate);
    }

    private record NotifyingRunning(Running delegate, PoolId pool, AdmissionGate gate) implements Running {
        @Override
        public void firstToken(long nowMs) {
            delegate.firstToken(nowMs);
            gate.advance(pool);
        }

        @Override
        public void generated(int tokens) {
            delegate.generated(tokens);
        }

        @Override
        public void ended(boolean succeeded, long nowMs) {
            delegate.ended(succeeded, nowMs);
            gate.advance(pool);
        }
    }
}
