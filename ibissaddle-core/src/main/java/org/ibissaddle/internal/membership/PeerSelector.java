package org.ibissaddle.internal.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.membership.MemberState;
import org.ibissaddle.membership.Peer;

/**
 * Selects the peer for the next exchange, mostly from the local zone. Each group of peers is visited in shuffled
 * rounds, so that every member is contacted within bounded time.
 */
final class PeerSelector {
    private static final int CYCLE_TURNS = 10;
    private static final int REGION_TURNS = 3;
    private static final int DOWN_PROBE_TURNS = 8;

    private final LocalInstance self;
    private final RandomGenerator random;
    private final Map<PeerGroup, Deque<InstanceId>> rounds = new EnumMap<>(PeerGroup.class);
    private Optional<InstanceId> retry = Optional.empty();
    private int turn;

    private enum PeerGroup {
        SAME_ZONE,
        SAME_REGION,
        OTHER_REGION,
        DOWN
    }

    PeerSelector(LocalInstance self, RandomGenerator random) {
        this.self = self;
        this.random = random;
        this.turn = random.nextInt(CYCLE_TURNS * DOWN_PROBE_TURNS);
    }

    /** Selects a member again for the next exchange if it is still alive. */
    void retryNext(InstanceId id) {
        retry = Optional.of(id);
    }

    Optional<Peer> next(Collection<Member> members) {
        Map<PeerGroup, List<Member>> byGroup = new EnumMap<>(PeerGroup.class);
        for (Member member : members) {
            byGroup.computeIfAbsent(groupOf(member), key -> new ArrayList<>()).add(member);
            if (retry.filter(member.id::equals).isPresent() && member.state == MemberState.ALIVE) {
                retry = Optional.empty();
                return Optional.of(peer(member));
            }
        }
        retry = Optional.empty();
        turn++;
        for (PeerGroup group : groupOrder()) {
            List<Member> candidates = byGroup.getOrDefault(group, List.of());
            if (!candidates.isEmpty()) {
                return Optional.of(peer(nextInRound(group, candidates)));
            }
        }
        return Optional.empty();
    }

    private List<PeerGroup> groupOrder() {
        if (turn % DOWN_PROBE_TURNS == 0) {
            return List.of(PeerGroup.DOWN, PeerGroup.OTHER_REGION, PeerGroup.SAME_REGION, PeerGroup.SAME_ZONE);
        }
        int slot = turn % CYCLE_TURNS;
        if (slot == 0) {
            return List.of(PeerGroup.OTHER_REGION, PeerGroup.SAME_REGION, PeerGroup.SAME_ZONE, PeerGroup.DOWN);
        }
        if (slot <= REGION_TURNS) {
            return List.of(PeerGroup.SAME_REGION, PeerGroup.OTHER_REGION, PeerGroup.SAME_ZONE, PeerGroup.DOWN);
        }
        return List.of(PeerGroup.SAME_ZONE, PeerGroup.SAME_REGION, PeerGroup.OTHER_REGION, PeerGroup.DOWN);
    }

    private PeerGroup groupOf(Member member) {
        if (member.state == MemberState.DOWN) {
            return PeerGroup.DOWN;
        }
        if (member.zone.equals(self.zone())) {
            return PeerGroup.SAME_ZONE;
        }
        return member.region.equals(self.region()) ? PeerGroup.SAME_REGION : PeerGroup.OTHER_REGION;
    }

    private Member nextInRound(PeerGroup group, List<Member> candidates) {
        Deque<InstanceId> round = rounds.computeIfAbsent(group, key -> new ArrayDeque<>());
        while (true) {
            if (round.isEmpty()) {
                List<InstanceId> names = new ArrayList<>(
                        candidates.stream().map(candidate -> candidate.id).toList());
                Collections.shuffle(names, Random.from(random));
                round.addAll(names);
            }
            InstanceId id = round.removeFirst();
            Optional<Member> member = candidates.stream()
                    .filter(candidate -> candidate.id.equals(id))
                    .findFirst();
            if (member.isPresent()) {
                return member.get();
            }
        }
    }

    private static Peer peer(Member member) {
        return new Peer(Optional.of(member.id), member.control);
    }
}
