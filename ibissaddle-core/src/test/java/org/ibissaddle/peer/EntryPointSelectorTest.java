package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryPointSelectorTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final Region EAST = new Region("east");

    private static PeerState instance(String name, Region region, boolean ready, boolean draining) {
        Address address = Address.parse("10.0.0." + Math.floorMod(name.hashCode(), 250) + ":80");
        return new PeerState(
                new InstanceId(name),
                1,
                1,
                region,
                new Zone(region.name() + "-a"),
                address,
                address,
                ready,
                draining,
                StoreVersion.NONE,
                true,
                0,
                Map.of());
    }

    private static List<Address> choose(PeerState... instances) {
        return EntryPointSelector.choose(List.of(instances), NORTH, new Zone("north-a"), Set.of(SOUTH), 64);
    }

    // Load pattern: a machine that is too slow for its callers would get as many as the others.
    @Test
    void shouldListInstancesThatAreBehindLast() {
        PeerState slow = behind(instance("a", NORTH, true, false));
        PeerState quick = instance("b", NORTH, true, false);

        assertThat(choose(slow, quick)).containsExactly(quick.callerAddress(), slow.callerAddress());
    }

    private static PeerState behind(PeerState state) {
        return new PeerState(
                state.id(),
                1,
                1,
                state.region(),
                state.zone(),
                state.callerAddress(),
                state.peerAddress(),
                state.ready(),
                state.draining(),
                StoreVersion.NONE,
                true,
                0,
                Map.of(),
                1,
                false,
                true);
    }

    @Nested
    class Preference {
        private final PeerState near = instance("near", NORTH, true, false);
        private final PeerState home = instance("home", SOUTH, true, false);
        private final PeerState far = instance("far", EAST, true, false);

        @Test
        void shouldPreferTheRegionOfTheCaller() {
            assertThat(choose(far, home, near)).containsExactly(near.callerAddress());
        }

        @Test
        void shouldPreferHomeRegionsToOtherRegions() {
            assertThat(choose(far, home)).containsExactly(home.callerAddress());
        }

        @Test
        void shouldPreferADrainingInstanceNearbyToAnInstanceOutsideTheHomeRegions() {
            PeerState drainingNearby = instance("leaving", NORTH, false, true);

            assertThat(choose(far, drainingNearby)).containsExactly(drainingNearby.callerAddress());
            assertThat(choose(far, home, drainingNearby)).containsExactly(home.callerAddress());
        }

        @Test
        void shouldFallBackToAnyReadyInstance() {
            assertThat(choose(far)).containsExactly(far.callerAddress());
            assertThat(choose()).isEmpty();
        }
    }

    @Nested
    class Liveness {
        private final PeerTable peers = new PeerTable(new InstanceId("self"), NORTH, true, 0);

        @Test
        void shouldExcludeAnInstanceWhoseStateIsStale() {
            peers.update(new RelayedState(instance("other", NORTH, true, false), 0), 0);

            assertThat(peers.alive(PeerTable.STALE_STATE_MS)).hasSize(1);
            assertThat(peers.alive(PeerTable.STALE_STATE_MS + 1)).isEmpty();
            assertThat(peers.deploymentSize(PeerTable.STALE_STATE_MS + 1)).hasValue(2);
        }

        @Test
        void shouldIgnoreAStateThatIsNotNewer() {
            PeerState state = instance("other", NORTH, true, false);
            peers.update(new RelayedState(state, 0), 0);

            assertThat(peers.update(new RelayedState(state, 0), 5_000)).isFalse();
            assertThat(peers.alive(5_000)).isEmpty();
        }
    }
}
