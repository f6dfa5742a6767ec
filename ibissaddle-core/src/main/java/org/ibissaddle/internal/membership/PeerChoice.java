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
import org.ibissaddle.membership.MemberState;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.membership.Self;

/**
 * Chooses whom to talk to: mostly the own zone, in shuffled rounds, so that each member's turn comes in bounded time.
 */
final class PeerChoice {
    private static final int TURNS = 10;
    private static final int REGION_TURNS = 3;
    private static final int PROBE_EVERY = 8;

    private final Self self;
    private final RandomGenerator random;
    private final Map<Distance, Deque<InstanceId>> rounds = new EnumMap<>(Distance.class);
    private Optional<InstanceId> repeat = Optional.empty();
    private int turn;

    private enum Distance {
        ZONE,
        REGION,
        FAR,
        DOWN
    }

    PeerChoice(Self self, RandomGenerator random) {
        this.self = self;
        this.random = random;
        this.turn = random.nextInt(TURNS * PROBE_EVERY);
    }

    /** Asks for a member to be tried again next. */
    void again(InstanceId id) {
        repeat = Optional.of(id);
    }

    Optional<Peer> next(Collection<Member> members) {
        Map<Distance, List<Member>> byDistance = new EnumMap<>(Distance.class);
        for (Member member : members) {
            byDistance.computeIfAbsent(distance(member), d -> new ArrayList<>()).add(member);
            if (repeat.filter(member.id::equals).isPresent() && member.state == MemberState.ALIVE) {
                repeat = Optional.empty();
                return Optional.of(peer(member));
            }
        }
        repeat = Optional.empty();
        turn++;
        for (Distance distance : order()) {
            List<Member> candidates = byDistance.getOrDefault(distance, List.of());
            if (!candidates.isEmpty()) {
                return Optional.of(peer(take(distance, candidates)));
            }
        }
        return Optional.empty();
    }

    private List<Distance> order() {
        if (turn % PROBE_EVERY == 0) {
            return List.of(Distance.DOWN, Distance.FAR, Distance.REGION, Distance.ZONE);
        }
        int slot = turn % TURNS;
        if (slot == 0) {
            return List.of(Distance.FAR, Distance.REGION, Distance.ZONE, Distance.DOWN);
        }
        if (slot <= REGION_TURNS) {
            return List.of(Distance.REGION, Distance.FAR, Distance.ZONE, Distance.DOWN);
        }
        return List.of(Distance.ZONE, Distance.REGION, Distance.FAR, Distance.DOWN);
    }

    private Distance distance(Member member) {
        if (member.state == MemberState.DOWN) {
            return Distance.DOWN;
        }
        if (member.zone.equals(self.zone())) {
            return Distance.ZONE;
        }
        return member.region.equals(self.region()) ? Distance.REGION : Distance.FAR;
    }

    private Member take(Distance distance, List<Member> candidates) {
        Deque<InstanceId> round = rounds.computeIfAbsent(distance, d -> new ArrayDeque<>());
        while (true) {
            if (round.isEmpty()) {
                List<InstanceId> names =
                        new ArrayList<>(candidates.stream().map(one -> one.id).toList());
                Collections.shuffle(names, Random.from(random));
                round.addAll(names);
            }
            InstanceId id = round.removeFirst();
            Optional<Member> member =
                    candidates.stream().filter(one -> one.id.equals(id)).findFirst();
            if (member.isPresent()) {
                return member.get();
            }
        }
    }

    private static Peer peer(Member member) {
        return new Peer(Optional.of(member.id), member.control);
    }
}
