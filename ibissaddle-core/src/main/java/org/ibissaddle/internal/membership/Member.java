package org.ibissaddle.internal.membership;

import java.util.Optional;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.Gossip.MemberUpdate;
import org.ibissaddle.membership.MemberState;

/** State of another instance, as known to the local one. */
final class Member {
    static final int FAILURES_TO_SUSPECT = 2;

    final InstanceId id;
    Region region;
    Zone zone;
    Address caller;
    Address control;
    Incarnation incarnation;
    MemberState state = MemberState.ALIVE;
    int refutations;
    boolean listed;
    boolean listedLeaving;
    boolean leaving;
    int failures;
    long refutationDeadlineMs;
    long aliveConfirmedAtMs;

    Member(InstanceId id, Region region, Zone zone, Address caller, Address control) {
        this.id = id;
        this.region = region;
        this.zone = zone;
        this.caller = caller;
        this.control = control;
    }

    /**
     * Merges an update. An older incarnation is ignored; within one incarnation the higher refutation count wins, then
     * the more severe state. The leaving flag is never cleared within an incarnation.
     *
     * @return whether anything changed
     */
    boolean merge(MemberUpdate update, long nowMs, long refutationTimeoutMs) {
        if (update.incarnation() == null) {
            return false;
        }
        int order = incarnation == null ? 1 : update.incarnation().compareTo(incarnation);
        if (order < 0) {
            return false;
        }
        if (order > 0) {
            incarnation = update.incarnation();
            refutations = update.refutations();
            leaving = update.leaving();
            failures = 0;
            transitionTo(update.state(), nowMs, refutationTimeoutMs);
            return true;
        }
        boolean changed = update.leaving() && !leaving;
        leaving |= update.leaving();
        boolean newer = update.refutations() > refutations;
        boolean worse = update.refutations() == refutations && update.state().compareTo(state) > 0;
        if (newer || worse) {
            refutations = update.refutations();
            failures = newer ? Math.min(failures, FAILURES_TO_SUSPECT - 1) : failures;
            transitionTo(update.state(), nowMs, refutationTimeoutMs);
            return true;
        }
        return changed;
    }

    void transitionTo(MemberState next, long nowMs, long refutationTimeoutMs) {
        if (next == MemberState.SUSPECT && state != MemberState.SUSPECT) {
            refutationDeadlineMs = nowMs + refutationTimeoutMs;
        }
        state = next;
        if (next == MemberState.ALIVE) {
            aliveConfirmedAtMs = nowMs;
        }
    }

    boolean isLeaving() {
        return leaving || listedLeaving;
    }

    /** Returns whether tasks shared within a zone or region may be assigned to this instance. */
    boolean isEligibleWorker() {
        return state == MemberState.ALIVE && !isLeaving() && failures < FAILURES_TO_SUSPECT;
    }

    MemberUpdate toUpdate() {
        return listed
                ? new MemberUpdate(id, incarnation, refutations, state, leaving, null, null, null, null)
                : new MemberUpdate(id, incarnation, refutations, state, leaving, region, zone, caller, control);
    }

    InstanceView view(double load, double spare) {
        Optional<Incarnation> knownIncarnation = Optional.ofNullable(incarnation);
        return new InstanceView(id, knownIncarnation, region, zone, caller, control, health(), load, spare);
    }

    private Health health() {
        if (state == MemberState.DOWN) {
            return Health.DOWN;
        }
        if (isLeaving()) {
            return Health.LEAVING;
        }
        return state == MemberState.SUSPECT || failures >= FAILURES_TO_SUSPECT ? Health.SUSPECT : Health.LIVE;
    }
}
