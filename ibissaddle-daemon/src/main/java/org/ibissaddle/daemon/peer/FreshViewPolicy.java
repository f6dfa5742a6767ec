package org.ibissaddle.daemon.peer;

import java.util.random.RandomGenerator;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.port.Clock;

/**
 * Placement policy that avoids dispatching on a fleet view that is outdated after a pause of the process. It waits for
 * the control loop to refresh the view, for a bounded time, and then decides on the latest release note and fleet view.
 */
public final class FreshViewPolicy implements PlacementPolicy {
    private static final long MAX_REFRESH_WAIT_MS = 3_000;
    private static final long POLL_INTERVAL_MS = 20;

    private final PlacementPolicy policy;
    private final SharedState state;
    private final Clock clock;

    /**
     * Wraps a policy.
     *
     * @param policy policy that makes the decisions
     * @param state current release note and fleet view
     * @param clock time source
     */
    public FreshViewPolicy(PlacementPolicy policy, SharedState state, Clock clock) {
        this.policy = policy;
        this.state = state;
        this.clock = clock;
    }

    @Override
    public Placement place(
            PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        if (!ControlLoop.isOutdated(fleet, clock.nowMs())) {
            return policy.place(request, note, fleet, nowMs, random);
        }
        awaitRefresh();
        return policy.place(request, state.note().orElse(note), state.fleet(), clock.nowMs(), random);
    }

    private void awaitRefresh() {
        long deadlineMs = clock.nowMs() + MAX_REFRESH_WAIT_MS;
        while (ControlLoop.isOutdated(state.fleet(), clock.nowMs()) && clock.nowMs() < deadlineMs) {
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public DispatchHandle recordDispatch(PlacementRequest request, Placement placement, long nowMs) {
        return policy.recordDispatch(request, placement, nowMs);
    }
}
