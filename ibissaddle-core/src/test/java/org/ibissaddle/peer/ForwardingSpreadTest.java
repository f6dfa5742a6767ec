package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers a region at its peak: 40 instances forward to a region of 40 instances that is idle. */
class ForwardingSpreadTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final String ENGINES = "engines";
    private static final int INSTANCES = 40;

    private static InstanceId instance(Region region, int number) {
        return new InstanceId(region.name() + "-" + number);
    }

    /** Returns the table of an instance; one instance of the other region reports a slightly shorter wait. */
    private static PeerTable tableOf(int self) {
        PeerTable peers = new PeerTable(instance(NORTH, self), NORTH, true, 0);
        for (int i = 0; i < INSTANCES; i++) {
            peers.update(new RelayedState(state(i, 1, i == 7 ? 290 : 300), 0), 0);
        }
        return peers;
    }

    private static PeerState state(int number, long sequence, long waitMs) {
        Address address = new Address("10.0.0.1", 1_000 + number);
        return new PeerState(
                instance(SOUTH, number),
                1,
                sequence,
                SOUTH,
                new Zone("south-a"),
                address,
                address,
                true,
                false,
                StoreVersion.NONE,
                true,
                0,
                Map.of(ENGINES, new ServiceLoad(30, waitMs)));
    }

    private static PeerState target(PeerTable peers, Set<Address> tried) {
        return peers.bestRemotePeer(ENGINES, Set.of(), NORTH, tried, 0).orElseThrow();
    }

    @Nested
    class Spread {
        @Test
        void shouldNotSendTheRequestsOfARegionToOneInstance() {
            Map<InstanceId, Integer> senders = new HashMap<>();
            for (int i = 0; i < INSTANCES; i++) {
                senders.merge(target(tableOf(i), Set.of()).id(), 1, Integer::sum);
            }

            assertThat(Collections.max(senders.values())).isLessThanOrEqualTo(INSTANCES / 5);
        }

        @Test
        void shouldForwardToFewInstancesSoThatConnectionsAreReused() {
            PeerTable peers = tableOf(0);
            Set<InstanceId> targets = new HashSet<>();
            for (int round = 2; round < 100; round++) {
                for (int i = 0; i < INSTANCES; i++) {
                    peers.update(new RelayedState(state(i, round, 300 + (i * 13 + round * 7) % 50), 0), 0);
                }
                targets.add(target(peers, Set.of()).id());
            }

            assertThat(targets).hasSizeBetween(2, 3);
        }
    }

    @Nested
    class Refusals {
        @Test
        void shouldChooseAnotherInstanceAfterARefusal() {
            PeerTable peers = tableOf(0);
            PeerState refusing = target(peers, Set.of());

            assertThat(target(peers, Set.of(refusing.peerAddress())).id()).isNotEqualTo(refusing.id());
        }
    }
}
