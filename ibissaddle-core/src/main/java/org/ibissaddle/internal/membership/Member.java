package org.ibissaddle.internal.membership;

import java.util.Optional;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.Gossip.MemberNews;
import org.ibissaddle.membership.MemberState;

/** One other instance as it is believed to be. */
final class Member {
    static final int FAILURES_TO_DOUBT = 2;

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
    long suspectUntilMs;
    long provenAtMs;

    Member(InstanceId id, Region region, Zone zone, Address caller, Address control) {
        this.id = id;
        this.region = region;
        this.zone = zone;
        this.caller = caller;
        this.control = control;
    }

    /** Takes over news that is newer than what is known; tells whether anything changed. */
    boolean merge(MemberNews news, long nowMs, long suspicionMs) {
        if (news.incarnation() == null) {
            return false;
        }
        int order = incarnation == null ? 1 : news.incarnation().compareTo(incarnation);
        if (order < 0) {
            return false;
        }
        if (order > 0) {
            incarnation = news.incarnation();
            refutations = news.refutations();
            leaving = news.leaving();
            failures = 0;
            become(news.state(), nowMs, suspicionMs);
            return true;
        }
        boolean changed = news.leaving() && !leaving;
        leaving |= news.leaving();
        boolean newer = news.refutations() > refutations;
        boolean worse = news.refutations() == refutations && news.state().compareTo(state) > 0;
        if (newer || worse) {
            refutations = news.refutations();
            failures = newer ? Math.min(failures, FAILURES_TO_DOUBT - 1) : failures;
            become(news.state(), nowMs, suspicionMs);
            return true;
        }
        return changed;
    }

    void become(MemberState next, long nowMs, long suspicionMs) {
        if (next == MemberState.SUSPECT && state != MemberState.SUSPECT) {
            suspectUntilMs = nowMs + suspicionMs;
        }
        state = next;
        if (next == MemberState.ALIVE) {
            provenAtMs = nowMs;
        }
    }

    boolean leaves() {
        return leaving || listedLeaving;
    }

    /** Tells whether it may be given tasks that the fleet shares out. */
    boolean working() {
        return state == MemberState.ALIVE && !leaves() && failures < FAILURES_TO_DOUBT;
    }

    MemberNews news() {
        return listed
                ? new MemberNews(id, incarnation, refutations, state, leaving, null, null, null, null)
                : new MemberNews(id, incarnation, refutations, state, leaving, region, zone, caller, control);
    }

    InstanceView view(double load, double spare) {
        Optional<Incarnation> known = Optional.ofNullable(incarnation);
        return new InstanceView(id, known, region, zone, caller, control, health(), load, spare);
    }

    private Health health() {
        if (state == MemberState.DOWN) {
            return Health.DOWN;
        }
        if (leaves()) {
            return Health.LEAVING;
        }
        return state == MemberState.SUSPECT || failures >= FAILURES_TO_DOUBT ? Health.SUSPECT : Health.LIVE;
    }
}
