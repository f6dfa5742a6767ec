package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerTableTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final InstanceId OTHER = new InstanceId("other");

    private final PeerTable peers = new PeerTable(new InstanceId("self"), NORTH, new Zone("north-a"), true, 0);

    private static PeerState state(Region region, long incarnation, long sequence, int version, ServiceLoad load) {
        Address address = new Address("10.0.0.1", 1_000);
        return new PeerState(
                OTHER,
                incarnation,
                sequence,
                region,
                new Zone(region.name() + "-a"),
                address,
                address,
                true,
                false,
                StoreVersion.NONE,
                true,
                0,
                load == null ? Map.of() : Map.of("engines", load),
                version,
                false,
                false);
    }

    private void learn(int version, long atMs) {
        peers.update(new RelayedState(state(NORTH, 5, 10, version, null), 0), atMs);
    }

    private void receive(Heartbeat heartbeat, long atMs) {
        peers.apply(new PeerUpdate(List.of(), List.of(heartbeat), List.of()), atMs);
    }

    @Nested
    class Heartbeats {
        @Test
        void shouldKeepAKnownInstanceListed() {
            learn(1, 0);
            receive(new Heartbeat(OTHER, Heartbeat.tagOf(5), 1, 15, 500), 3_000);

            assertThat(peers.alive(5_500)).hasSize(1);
            assertThat(peers.alive(5_501)).isEmpty();
        }

        // A state that is older than the heartbeat could list an instance that drains.
        @Test
        void shouldNotRefreshAStateOfAnotherVersionOrIncarnation() {
            learn(1, 0);
            receive(new Heartbeat(OTHER, Heartbeat.tagOf(5), 2, 15, 500), 3_000);
            receive(new Heartbeat(OTHER, Heartbeat.tagOf(6), 1, 15, 500), 3_000);

            assertThat(peers.alive(3_001)).isEmpty();
        }

        // An instance that has stopped would stay listed as long as its last heartbeat circulates.
        @Test
        void shouldNotRefreshAStateByAHeartbeatReceivedBefore() {
            learn(1, 0);
            receive(new Heartbeat(OTHER, Heartbeat.tagOf(5), 1, 10, 1), 2_900);

            assertThat(peers.alive(3_001)).isEmpty();
        }
    }

    @Nested
    class Response {
        private PeerUpdate response(List<Heartbeat> request) {
            return peers.response(new InstanceId("asking"), NORTH, request, new SplittableRandom(1), 100);
        }

        private Heartbeat heartbeat(int version, long sequence) {
            return new Heartbeat(OTHER, Heartbeat.tagOf(5), version, sequence, 1);
        }

        @Test
        void shouldContainTheStateThatTheSenderLacks() {
            learn(2, 0);

            assertThat(response(List.of()).states()).hasSize(1);
            assertThat(response(List.of(heartbeat(1, 9))).states()).hasSize(1);
        }

        @Test
        void shouldRepeatNothingThatTheSenderKnows() {
            learn(2, 0);

            assertThat(response(List.of(heartbeat(2, 9))))
                    .isEqualTo(new PeerUpdate(
                            List.of(), List.of(new Heartbeat(OTHER, Heartbeat.tagOf(5), 2, 10, 100)), List.of()));
            assertThat(response(List.of(heartbeat(2, 10)))).isEqualTo(new PeerUpdate(List.of(), List.of(), List.of()));
        }

        // Instances of an earlier version change their state without a version number.
        @Test
        void shouldContainStatesOfAnEarlierVersion() {
            learn(0, 0);

            PeerUpdate response = response(List.of());
            assertThat(response.states()).hasSize(1);
            assertThat(response.heartbeats()).isEmpty();
        }
    }

    @Nested
    class Loads {
        private final ServiceLoad load = new ServiceLoad(3, 200);

        private List<Map<String, ServiceLoad>> loads(long nowMs) {
            return peers.alive(nowMs).stream().map(PeerState::services).toList();
        }

        // Requests would be forwarded by a load that is older than the state of its instance.
        @Test
        void shouldExpireWhileHeartbeatsContinue() {
            peers.update(new RelayedState(state(SOUTH, 5, 10, 1, load), 0), 0);
            receive(new Heartbeat(OTHER, Heartbeat.tagOf(5), 1, 15, 500), 3_000);

            assertThat(loads(3_000)).containsExactly(Map.of("engines", load));
            assertThat(loads(3_001)).containsExactly(Map.of());
        }

        // Few instances of a region report directly; the others must receive forwarded requests too.
        @Test
        void shouldHoldForTheInstancesOfTheRegionThatReportedNone() {
            KnownPeers.add(peers, new InstanceId("silent"), SOUTH, new Zone("south-b"), 0);
            peers.update(new RelayedState(state(SOUTH, 5, 10, 1, load), 0), 0);

            assertThat(loads(0)).containsExactly(Map.of("engines", load), Map.of("engines", load));
        }

        @Test
        void shouldBeRelayedWithinTheRegionOnly() {
            peers.update(new RelayedState(state(SOUTH, 5, 10, 1, load), 0), 0);

            assertThat(peers.request(Optional.of(NORTH), new SplittableRandom(1), 100)
                            .loads())
                    .containsExactly(new RelayedLoad(OTHER, Map.of("engines", load), 100));
            assertThat(peers.request(Optional.of(SOUTH), new SplittableRandom(1), 100)
                            .loads())
                    .isEmpty();
        }

        @Test
        void shouldBeReplacedByNewerOnesOnly() {
            peers.update(new RelayedState(state(SOUTH, 5, 10, 1, load), 0), 1_000);
            RelayedLoad older = new RelayedLoad(OTHER, Map.of(), 600);
            peers.apply(new PeerUpdate(List.of(), List.of(), List.of(older)), 1_500);
            assertThat(loads(1_500)).containsExactly(Map.of("engines", load));

            RelayedLoad newer = new RelayedLoad(OTHER, Map.of(), 400);
            peers.apply(new PeerUpdate(List.of(), List.of(), List.of(newer)), 1_500);
            assertThat(loads(1_500)).containsExactly(Map.of());
        }
    }

    // A failed connection would exclude an instance that has answered within the same round.
    @Test
    void shouldListAnInstanceAgainThatAnswersInTheSameRound() {
        learn(1, 0);
        peers.markUnreachable(new Address("10.0.0.1", 1_000), 100);
        assertThat(peers.alive(100)).isEmpty();

        learn(1, 200);

        assertThat(peers.alive(200)).hasSize(1);
    }
}
