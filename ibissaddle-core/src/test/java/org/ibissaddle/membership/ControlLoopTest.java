package org.ibissaddle.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.id.Incarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlLoopTest {
    private static final long TIMEOUT_MS = 5_000;

    static String note(long number) {
        return "[note]\nnumber = " + number + "\n[region r0]\n[region r1]\n[region r2]\n"
                + "[pool inspection]\nkind = model\nmodels = dossier@3, quick@1\n"
                + "[workspace w]\nrequests-per-second = 5\n";
    }

    private static MemoryFleet stableFleet(int instances, int servers) {
        MemoryFleet fleet = MemoryFleet.of(11, instances, servers);
        fleet.platform.publish("note", note(1), fleet.nowMs);
        fleet.runUntil(
                () -> fleet.allHaveNote(1) && fleet.nodes.values().stream().allMatch(n -> n.loop.isReady()), 15_000);
        fleet.run(5_000);
        return fleet;
    }

    @Nested
    class Notes {
        @Test
        void shouldReachAllInstancesDespiteFaults() {
            MemoryFleet fleet = stableFleet(4, 11);
            fleet.platform.delayMs = 800;
            fleet.nodes.get("i1").platformReachable = false;
            fleet.platform.publish("note", note(2), fleet.nowMs);
            fleet.run(300);
            fleet.nodes.get("i2").stop();
            fleet.run(300);
            fleet.nodes.get("i2").start();

            fleet.runUntil(() -> fleet.allHaveNote(2), TIMEOUT_MS - 600);
        }

        @Test
        void shouldBeReadFromPeersWhileThePlatformIsDown() {
            MemoryFleet fleet = stableFleet(4, 11);
            fleet.platform.down = true;
            fleet.nodes.get("i2").stop();
            fleet.run(10_000);
            fleet.nodes.get("i2").start();

            fleet.runUntil(() -> fleet.nodes.get("i2").loop.isReady(), TIMEOUT_MS);
            assertThat(fleet.nodes.get("i2").loop.notes().number()).isEqualTo(1);
        }

        @Test
        void shouldNotBecomeReadyWhenPlatformAndPeersAreUnreachable() {
            MemoryFleet fleet = stableFleet(4, 11);
            fleet.platform.down = true;
            fleet.nodes.get("i2").stop();
            fleet.isBlocked = (from, to) -> from.equals("i2") || to.equals("i2");
            fleet.nodes.get("i2").start();
            fleet.run(30_000);

            assertThat(fleet.nodes.get("i2").loop.isReady()).isFalse();
        }

        @Test
        void shouldNotBecomeReadyWithAStaleNoteWhenAPeerHasANewerOne() {
            MemoryFleet fleet = stableFleet(4, 11);
            fleet.run(20_000);
            fleet.platform.publish("note", note(2), fleet.nowMs);
            fleet.runUntil(() -> fleet.allHaveNote(2), TIMEOUT_MS);
            MemoryFleet.Node node = fleet.nodes.get("i3");
            node.stop();
            node.staleByMs = 15_000;
            node.start();

            while (!node.loop.isReady()) {
                fleet.run(10);
            }
            assertThat(node.loop.notes().number()).isEqualTo(2);
        }

        @Test
        void shouldReadABaseNoteInPartsFromThePlatform() {
            MemoryFleet fleet = MemoryFleet.of(5, 1, 3);
            String filler = "; filler\n".repeat(150_000);
            org.ibissaddle.note.NoteParts.split("note-1", 1, note(1) + filler)
                    .forEach((name, text) -> fleet.platform.publish(name, text, fleet.nowMs));
            fleet.platform.publish("note", "[note]\nnumber = 2\nbase = 1\n[withdraw workspace w]\n", fleet.nowMs);

            fleet.runUntil(() -> fleet.allHaveNote(2), TIMEOUT_MS);
            assertThat(fleet.nodes
                            .get("i0")
                            .loop
                            .notes()
                            .inForce()
                            .orElseThrow()
                            .workspaces())
                    .isEmpty();
        }
    }

    @Nested
    class Servers {
        @Test
        void shouldSpreadADrainingServerWithinThreeSeconds() {
            MemoryFleet fleet = stableFleet(24, 30);
            fleet.servers.get("server-3").draining = true;
            String region = fleet.servers.get("server-3").location.region().name();
            List<MemoryFleet.Node> inRegion = fleet.nodes.values().stream()
                    .filter(node -> node.location.region().name().equals(region))
                    .toList();
            fleet.runUntil(
                    () -> inRegion.stream().anyMatch(node -> node.healthOf("server-3") == Health.LEAVING), TIMEOUT_MS);

            fleet.runUntil(
                    () -> inRegion.stream().allMatch(node -> node.healthOf("server-3") == Health.LEAVING), 3_000);
            fleet.publishList();
            fleet.run(TIMEOUT_MS);
            assertThat(inRegion).allMatch(node -> node.healthOf("server-3") == Health.LEAVING);
        }

        @Test
        void shouldMarkADrainingServerAsLiveOnlyAfterItsRestart() {
            MemoryFleet fleet = stableFleet(4, 11);
            MemoryFleet.Backend server = fleet.servers.get("server-0");
            server.draining = true;
            fleet.run(TIMEOUT_MS);
            server.draining = false;
            fleet.run(TIMEOUT_MS);
            assertThat(fleet.nodes.get("i0").healthOf("server-0")).isEqualTo(Health.LEAVING);
            server.incarnation = new Incarnation(fleet.nowMs, 8);

            fleet.runUntil(() -> fleet.nodes.get("i0").healthOf("server-0") == Health.LIVE, TIMEOUT_MS);
        }

        @Test
        void shouldSuspectACrashedServerEverywhereInItsRegion() {
            MemoryFleet fleet = stableFleet(24, 30);
            fleet.servers.get("server-3").up = false;
            String region = fleet.servers.get("server-3").location.region().name();

            fleet.runUntil(
                    () -> fleet.nodes.values().stream()
                            .filter(node -> node.location.region().name().equals(region))
                            .allMatch(node -> node.healthOf("server-3") == Health.SUSPECT),
                    10_000);
        }

        @Test
        void shouldNotSuspectServersBecauseOneInstanceIsIsolated() {
            MemoryFleet fleet = stableFleet(24, 30);
            fleet.isBlocked = (from, to) -> from.equals("i3") && to.startsWith("server");
            fleet.run(30_000);

            for (MemoryFleet.Node node : fleet.nodes.values()) {
                long notLiveCount = node.loop.view(fleet.nowMs).servers().stream()
                        .filter(view -> view.health() != Health.LIVE)
                        .count();
                assertThat(node.name.equals("i3") || notLiveCount == 0)
                        .as("%s suspects %s", node.name, notLiveCount)
                        .isTrue();
            }
        }

        @Test
        void shouldKeepServersWhenTheListIsEmptyOrLacksThem() {
            MemoryFleet fleet = stableFleet(4, 11);
            fleet.platform.publish(List.of(), fleet.nowMs);
            fleet.run(TIMEOUT_MS);
            List<ListEntry> instancesOnly = fleet.entries().stream()
                    .filter(entry -> entry.kind() == ListEntry.Kind.INSTANCE)
                    .toList();
            fleet.platform.publish(instancesOnly, fleet.nowMs);
            fleet.run(TIMEOUT_MS);

            assertThat(fleet.nodes.get("i0").loop.view(fleet.nowMs).servers())
                    .isNotEmpty()
                    .allMatch(view -> view.health() == Health.LIVE);
        }
    }

    @Nested
    class Members {
        @Test
        void shouldMarkACrashedInstanceAsDown() {
            MemoryFleet fleet = stableFleet(24, 30);
            fleet.nodes.get("i5").stop();

            fleet.runUntil(
                    () -> fleet.nodes.values().stream()
                            .filter(node -> node.up)
                            .allMatch(node -> node.healthOfPeer("i5") == Health.DOWN),
                    20_000);
        }

        @Test
        void shouldRefuteASuspicionCausedByAnAsymmetricPartition() {
            MemoryFleet fleet = stableFleet(24, 30);
            fleet.isBlocked = (from, to) -> from.equals("i2") && to.equals("i9");
            fleet.run(60_000);

            assertThat(fleet.nodes.values())
                    .filteredOn(node -> !node.name.equals("i2") && !node.name.equals("i9"))
                    .allMatch(node -> node.healthOfPeer("i9") != Health.DOWN);
        }

        @Test
        void shouldRejoinAfterAPartition() {
            MemoryFleet fleet = stableFleet(24, 30);
            fleet.isBlocked = (from, to) ->
                    region(fleet, from).equals("r0") != region(fleet, to).equals("r0");
            fleet.run(60_000);
            assertThat(fleet.nodes.get("i0").healthOfPeer("i1")).isEqualTo(Health.DOWN);
            assertThat(fleet.nodes.get("i0").healthOfPeer("i3")).isEqualTo(Health.LIVE);
            fleet.isBlocked = (from, to) -> false;

            fleet.runUntil(
                    () -> fleet.nodes.values().stream()
                            .allMatch(node -> node.loop.view(fleet.nowMs).peers().stream()
                                    .allMatch(peer -> peer.health() == Health.LIVE)),
                    60_000);
        }

        private String region(MemoryFleet fleet, String name) {
            return name.startsWith("server")
                    ? fleet.servers.get(name).location.region().name()
                    : fleet.nodes.get(name).location.region().name();
        }

        @Test
        void shouldRefreshTheMembershipViewAfterAPause() {
            MemoryFleet fleet = stableFleet(4, 11);
            MemoryFleet.Node node = fleet.nodes.get("i0");
            String server = fleet.servers.values().stream()
                    .filter(candidate -> candidate.location.region().equals(node.location.region()))
                    .findFirst()
                    .orElseThrow()
                    .name;
            node.pausedUntilMs = fleet.nowMs + 60_000;
            fleet.servers.get(server).draining = true;
            fleet.run(59_990);
            assertThat(ControlLoop.isOutdated(node.loop.view(fleet.nowMs), fleet.nowMs))
                    .isTrue();

            fleet.runUntil(() -> !ControlLoop.isOutdated(node.loop.view(fleet.nowMs), fleet.nowMs), 3_000);
            fleet.runUntil(() -> node.healthOf(server) == Health.LEAVING, 3_000);
        }
    }
}
