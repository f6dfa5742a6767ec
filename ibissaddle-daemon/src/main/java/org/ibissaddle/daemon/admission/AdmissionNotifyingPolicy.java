package org.ibissaddle.daemon.admission;

import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;

/** Placement policy that notifies the admission gate when the load of a pool drops. */
public final class AdmissionNotifyingPolicy implements PlacementPolicy {
    private final PlacementPolicy policy;
    private final AdmissionGate gate;

    /**
     * Wraps a policy.
     *
     * @param policy policy that makes the decisions
     * @param gate gate that admits waiting requests
     */
    public AdmissionNotifyingPolicy(PlacementPolicy policy, AdmissionGate gate) {
        this.policy = policy;
        this.gate = gate;
    }

    @Override
    public Placement place(
            PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        return policy.place(request, note, fleet, nowMs, random);
    }

    @Override
    public DispatchHandle recordDispatch(PlacementRequest request, Placement placement, long nowMs) {
        return new NotifyingDispatchHandle(policy.recordDispatch(request, placement, nowMs), request.pool(), gate);
    }

    private record NotifyingDispatchHandle(DispatchHandle delegate, PoolId pool, AdmissionGate gate)
            implements DispatchHandle {
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
        public void completed(boolean succeeded, long nowMs) {
            delegate.completed(succeeded, nowMs);
            gate.advance(pool);
        }
    }
}
