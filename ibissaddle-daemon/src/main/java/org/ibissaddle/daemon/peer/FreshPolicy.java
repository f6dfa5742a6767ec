package org.ibissaddle.daemon.peer;

import java.util.random.RandomGenerator;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;
import org.ibissaddle.port.Clock;

/**
 * Lets nothing be dispatched on beliefs that a pause of the process has made old: it waits for the control loop to
 * refresh them, for a bounded time, and then decides on the newest note and beliefs.
 */
public final class FreshPolicy implements PlacementPolicy {
    private static final long MAX_WAIT_MS = 3_000;
    private static final long CHECK_MS = 20;

    private final PlacementPolicy policy;
    private final SharedState state;
    private final Clock clock;

    /**
     * Wraps a policy.
     *
     * @param policy decides
     * @param state note and beliefs
     * @param clock source of time
     */
    public FreshPolicy(PlacementPolicy policy, SharedState state, Clock clock) {
        this.policy = policy;
        this.state = state;
        this.clock = clock;
    }

    @Override
    public Placement place(Work work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        if (!ControlLoop.outdated(fleet, clock.nowMs())) {
            return policy.place(work, note, fleet, nowMs, random);
        }
        awaitRefresh();
        return policy.place(work, state.note().orElse(note), state.fleet(), clock.nowMs(), random);
    }

    private void awaitRefresh() {
        long untilMs = clock.nowMs() + MAX_WAIT_MS;
        while (ControlLoop.outdated(state.fleet(), clock.nowMs()) && clock.nowMs() < untilMs) {
            try {
                Thread.sleep(CHECK_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public Running started(Work work, Placement placement, long nowMs) {
        return policy.started(work, placement, nowMs);
    }
}
