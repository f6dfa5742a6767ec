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
import org.ibissaddle.membership.Gossip.MemberNews;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.MemberState;
import org.ibissaddle.membership.Self;

/** The other instances: from the platform's list, from what they say, and from what others say of them. */
public final class MemberTable {
    /** How long a suspected member has to refute, milliseconds. */
    static final long SUSPICION_MS = 5_000;

    private static final long PROOF_MS = 15_000;
    private static final long FORGET_MS = 60_000;

    private final Self self;
    private final Map<InstanceId, Member> members = new TreeMap<>();
    private final List<InstanceId> changed = new ArrayList<>();
    private boolean selfListed;
    private int refutations;
    private boolean leaving;

    MemberTable(Self self) {
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

    /** Returns the members whose news should be passed on, and forgets that they changed. */
    List<InstanceId> takeChanged() {
        List<InstanceId> taken = List.copyOf(new HashSet<>(changed));
        changed.clear();
        return taken;
    }

    void list(List<ListEntry> entries, long nowMs) {
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
                member.provenAtMs = Math.max(member.provenAtMs, nowMs - PROOF_MS / 2);
            }
        }
    }

    /** Takes in what a member says of itself, first hand. */
    void heard(MemberNews from, long nowMs) {
        if (from.id().equals(self.id())) {
            return;
        }
        Optional<Member> known = learn(from);
        if (known.isEmpty()) {
            return;
        }
        Member member = known.get();
        boolean down = member.state != MemberState.ALIVE;
        if (member.merge(from, nowMs, SUSPICION_MS)) {
            changed.add(member.id);
        }
        member.failures = 0;
        member.provenAtMs = nowMs;
        if (down && member.state != MemberState.ALIVE) {
            changed.add(member.id);
        }
    }

    /** Takes in what somebody says of a member. */
    void news(MemberNews news, long nowMs) {
        if (news.id().equals(self.id())) {
            refute(news);
            return;
        }
        Optional<Member> member = learn(news);
        if (member.isPresent() && member.get().merge(news, nowMs, SUSPICION_MS)) {
            changed.add(member.get().id);
        }
    }

    private void refute(MemberNews news) {
        boolean same = self.incarnation().equals(news.incarnation());
        if (same && news.state() != MemberState.ALIVE && news.refutations() >= refutations) {
            refutations = news.refutations() + 1;
            changed.add(self.id());
        }
    }

    private Optional<Member> learn(MemberNews news) {
        Member member = members.get(news.id());
        if (member == null && news.control() != null && news.region() != null && news.zone() != null) {
            member = new Member(news.id(), news.region(), news.zone(), news.caller(), news.control());
            members.put(member.id, member);
        }
        return Optional.ofNullable(member);
    }

    /** Records that a member did not answer. */
    void failed(InstanceId id, boolean isolated, long nowMs) {
        Member member = members.get(id);
        if (member == null) {
            return;
        }
        member.failures++;
        boolean doubt = member.failures >= Member.FAILURES_TO_DOUBT && !isolated;
        if (doubt && member.state == MemberState.ALIVE) {
            member.become(MemberState.SUSPECT, nowMs, SUSPICION_MS);
            changed.add(id);
        }
    }

    /** Ends suspicions that were not refuted, unless the fault is likely here; forgets who is gone. */
    void expire(boolean isolated, long nowMs) {
        for (Member member : members.values()) {
            if (member.state == MemberState.SUSPECT && member.suspectUntilMs <= nowMs && !isolated) {
                member.state = MemberState.DOWN;
                changed.add(member.id);
            }
        }
        members.values().removeIf(member -> gone(member, nowMs));
    }

    private static boolean gone(Member member, long nowMs) {
        boolean proven = nowMs - member.provenAtMs < (member.state == MemberState.DOWN ? PROOF_MS : FORGET_MS);
        return !member.listed && !proven;
    }

    MemberNews own() {
        boolean known = selfListed;
        return new MemberNews(
                self.id(),
                self.incarnation(),
                refutations,
                MemberState.ALIVE,
                leaving,
                known ? null : self.region(),
                known ? null : self.zone(),
                known ? null : self.caller(),
                known ? null : self.control());
    }

    Optional<MemberNews> newsOf(InstanceId id) {
        if (id.equals(self.id())) {
            return Optional.of(own());
        }
        return member(id).filter(member -> member.incarnation != null).map(Member::news);
    }

    /** Lists the working instances of the own region. */
    List<InstanceId> workersOfRegion() {
        List<InstanceId> workers = new ArrayList<>();
        if (!leaving) {
            workers.add(self.id());
        }
        for (Member member : members.values()) {
            if (member.working() && member.region.equals(self.region())) {
                workers.add(member.id);
            }
        }
        return workers;
    }

    /** Lists the instances of a zone that do the zone's shared tasks; those of the region when the zone has none. */
    List<InstanceId> workers(Zone zone) {
        List<InstanceId> inZone = new ArrayList<>();
        List<InstanceId> inRegion = new ArrayList<>();
        if (!leaving) {
            inRegion.add(self.id());
            if (zone.equals(self.zone())) {
                inZone.add(self.id());
            }
        }
        for (Member member : members.values()) {
            if (!member.working() || !member.region.equals(self.region())) {
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
