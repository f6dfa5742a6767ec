package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.Gossip.MemberUpdate;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.membership.MemberState;

/** State of the other instances, combined from the platform's list, their own messages and gossip about them. */
public final class MemberTable {
    /** Time that a suspected member has to refute the suspicion, in milliseconds. */
    static final long REFUTATION_TIMEOUT_MS = 5_000;

    private static final long UNLISTED_DOWN_RETENTION_MS = 15_000;
    private static final long UNLISTED_RETENTION_MS = 60_000;

    private final LocalInstance self;
    private final Map<InstanceId, Member> members = new TreeMap<>();
    private final List<InstanceId> changed = new ArrayList<>();
    private boolean selfListed;
    private int refutations;
    private boolean leaving;

    MemberTable(LocalInstance self) {
        this.self = self;
    }

    Collection<Member> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    Optional<Member> member(InstanceId id) {
        return Optional.ofNullable(members.get(id));
    }

    boolean selfListed() {
        return selfListed;
    }

    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    /** Returns and clears the members whose changes have not been queued for gossip yet. */
    List<InstanceId> drainChanged() {
        List<InstanceId> drained = List.copyOf(new HashSet<>(changed));
        changed.clear();
        return drained;
    }

    void applyList(List<ListEntry> entries, long nowMs) {
        Set<InstanceId> seen = new HashSet<>();
        selfListed = false;
        for (ListEntry entry : entries) {
            if (entry.kind() != ListEntry.Kind.INSTANCE || entry.control().isEmpty()) {
                continue;
            }
            InstanceId id = new InstanceId(entry.name());
            if (id.equals(self.id())) {
                selfListed = true;
                continue;
            }
            seen.add(id);
            Member member = members.computeIfAbsent(
                    id,
                    name -> new Member(
                            name,
                            entry.region(),
                            entry.zone(),
                            entry.address(),
                            entry.control().get()));
            member.listed = true;
            member.listedLeaving = entry.leaving();
            member.region = entry.region();
            member.zone = entry.zone();
            member.caller = entry.address();
            member.control = entry.control().get();
        }
        for (Member member : members.values()) {
            if (member.listed && !seen.contains(member.id)) {
                member.listed = false;
                member.listedLeaving = false;
                member.aliveConfirmedAtMs = Math.max(member.aliveConfirmedAtMs, nowMs - UNLISTED_DOWN_RETENTION_MS / 2);
            }
        }
    }

    /** Applies the state that a member sent about itself in a message of its own. */
    void applySelfReport(MemberUpdate from, long nowMs) {
        if (from.id().equals(self.id())) {
            return;
        }
        Optional<Member> known = findOrAdd(from);
        if (known.isEmpty()) {
            return;
        }
        Member member = known.get();
        boolean wasNotAlive = member.state != MemberState.ALIVE;
        if (member.merge(from, nowMs, REFUTATION_TIMEOUT_MS)) {
            changed.add(member.id);
        }
        member.failures = 0;
        member.aliveConfirmedAtMs = nowMs;
        if (wasNotAlive && member.state != MemberState.ALIVE) {
            changed.add(member.id);
        }
    }

    /** Applies an update about a member that may come from any instance. */
    void applyUpdate(MemberUpdate update, long nowMs) {
        if (update.id().equals(self.id())) {
            refute(update);
            return;
        }
        Optional<Member> member = findOrAdd(update);
        if (member.isPresent() && member.get().merge(update, nowMs, REFUTATION_TIMEOUT_MS)) {
            changed.add(member.get().id);
        }
    }

    private void refute(MemberUpdate update) {
        boolean sameIncarnation = self.incarnation().equals(update.incarnation());
        if (sameIncarnation && update.state() != MemberState.ALIVE && update.refutations() >= refutations) {
            refutations = update.refutations() + 1;
            changed.add(self.id());
        }
    }

    private Optional<Member> findOrAdd(MemberUpdate update) {
        Member member = members.get(update.id());
        if (member == null && update.control() != null && update.region() != null && update.zone() != null) {
            member = new Member(update.id(), update.region(), update.zone(), update.caller(), update.control());
            members.put(member.id, member);
        }
        return Optional.ofNullable(member);
    }

    /**
     * Records that a member did not answer; suspects it after repeated failures unless the local instance is isolated.
     */
    void recordFailure(InstanceId id, boolean isolated, long nowMs) {
        Member member = members.get(id);
        if (member == null) {
            return;
        }
        member.failures++;
        boolean suspect = member.failures >= Member.FAILURES_TO_SUSPECT && !isolated;
        if (suspect && member.state == MemberState.ALIVE) {
            member.transitionTo(MemberState.SUSPECT, nowMs, REFUTATION_TIMEOUT_MS);
            changed.add(id);
        }
    }

    /**
     * Marks suspected members down once their refutation deadline has passed, unless the local instance is isolated,
     * and removes expired members.
     */
    void expire(boolean isolated, long nowMs) {
        for (Member member : members.values()) {
            if (member.state == MemberState.SUSPECT && member.refutationDeadlineMs <= nowMs && !isolated) {
                member.state = MemberState.DOWN;
                changed.add(member.id);
            }
        }
        members.values().removeIf(member -> isExpired(member, nowMs));
    }

    private static boolean isExpired(Member member, long nowMs) {
        boolean recentlyAlive = nowMs - member.aliveConfirmedAtMs
                < (member.state == MemberState.DOWN ? UNLISTED_DOWN_RETENTION_MS : UNLISTED_RETENTION_MS);
        return !member.listed && !recentlyAlive;
    }

    MemberUpdate ownUpdate() {
        boolean listed = selfListed;
        return new MemberUpdate(
                self.id(),
                self.incarnation(),
                refutations,
                MemberState.ALIVE,
                leaving,
                listed ? null : self.region(),
                listed ? null : self.zone(),
                listed ? null : self.caller(),
                listed ? null : self.control());
    }

    Optional<MemberUpdate> updateOf(InstanceId id) {
        if (id.equals(self.id())) {
            return Optional.of(ownUpdate());
        }
        return member(id).filter(member -> member.incarnation != null).map(Member::toUpdate);
    }

    /** Returns the eligible workers of the local region. */
    List<InstanceId> regionWorkers() {
        List<InstanceId> workers = new ArrayList<>();
        if (!leaving) {
            workers.add(self.id());
        }
        for (Member member : members.values()) {
            if (member.isEligibleWorker() && member.region.equals(self.region())) {
                workers.add(member.id);
            }
        }
        return workers;
    }

    /** Returns the eligible workers of a zone, or those of the region if the zone has none. */
    List<InstanceId> zoneWorkers(Zone zone) {
        List<InstanceId> inZone = new ArrayList<>();
        List<InstanceId> inRegion = new ArrayList<>();
        if (!leaving) {
            inRegion.add(self.id());
            if (zone.equals(self.zone())) {
                inZone.add(self.id());
            }
        }
        for (Member member : members.values()) {
            if (!member.isEligibleWorker() || !member.region.equals(self.region())) {
                continue;
            }
            inRegion.add(member.id);
            if (member.zone.equals(zone)) {
                inZone.add(member.id);
            }
        }
        return inZone.isEmpty() ? inRegion : inZone;
    }
}
