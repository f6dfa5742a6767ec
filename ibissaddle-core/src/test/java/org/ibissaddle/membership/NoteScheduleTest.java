package org.ibissaddle.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;

/**
 * Runs generated fault schedules. Until its next restart, an instance must never revert to an older release note, and
 * it must stay ready once it is. A note number must have the same content at all instances.
 */
class NoteScheduleTest {
    private static final int STEPS = 25;
    private static final long STEP_MS = 400;

    @Property(seed = "6006", tries = 1_000, shrinking = ShrinkingMode.OFF)
    void shouldNeverRevertToAnOlderNote(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Run run = new Run(seed);
        for (int step = 0; step < STEPS; step++) {
            run.injectRandomFault();
            for (int i = 0; i < STEP_MS / 50; i++) {
                run.fleet.run(50);
                run.assertInvariants();
            }
        }
        run.clearFaults();
        run.fleet.runUntil(() -> run.fleet.allHaveNote(run.newestNumber), 60_000);
        assertThat(run.restarts + run.publications).isPositive();
    }

    /** Run of one fault schedule. */
    private static final class Run {
        final MemoryFleet fleet;
        final java.util.Random random;
        final List<MemoryFleet.Node> nodes;
        final Map<String, Long> lastNumbers = new HashMap<>();
        final Map<String, String> digests = new HashMap<>();
        final Map<String, Boolean> ready = new HashMap<>();
        String isolated = "";
        String blockedPair = "";
        long newestNumber;
        int restarts;
        int publications;

        Run(long seed) {
            random = new java.util.Random(seed);
            fleet = MemoryFleet.of(seed, 3 + random.nextInt(3), 4);
            nodes = new ArrayList<>(fleet.nodes.values());
            publish();
            fleet.isBlocked =
                    (from, to) -> from.equals(isolated) || to.equals(isolated) || (from + to).equals(blockedPair);
        }

        void publish() {
            newestNumber++;
            publications++;
            fleet.platform.publish("note", ControlLoopTest.note(newestNumber), fleet.nowMs);
        }

        void injectRandomFault() {
            MemoryFleet.Node node = nodes.get(random.nextInt(nodes.size()));
            switch (random.nextInt(9)) {
                case 0 -> publish();
                case 1 -> restart(node);
                case 2 -> node.pausedUntilMs = fleet.nowMs + random.nextInt(5_000);
                case 3 -> node.staleByMs = random.nextInt(10_000);
                case 4 -> node.platformReachable = !node.platformReachable;
                case 5 -> isolated = isolated.isEmpty() ? node.name : "";
                case 6 -> blockedPair = node.name + nodes.get(random.nextInt(nodes.size())).name;
                case 7 -> fleet.platform.down = !fleet.platform.down;
                default -> fleet.platform.delayMs = random.nextInt(1_500);
            }
        }

        private void restart(MemoryFleet.Node node) {
            restarts++;
            node.stop();
            node.pausedUntilMs = 0;
            node.start();
            lastNumbers.remove(node.name);
            ready.remove(node.name);
        }

        void assertInvariants() {
            for (MemoryFleet.Node node : nodes) {
                long number = node.loop.notes().number();
                assertThat(number).isGreaterThanOrEqualTo(lastNumbers.getOrDefault(node.name, 0L));
                lastNumbers.put(node.name, number);
                String digest = node.loop.notes().digest();
                assertThat(digests.getOrDefault("" + number, digest)).isEqualTo(digest);
                digests.put("" + number, digest);
                boolean wasReady = ready.getOrDefault(node.name, false);
                assertThat(!wasReady || node.loop.isReady()).isTrue();
                ready.put(node.name, node.loop.isReady());
            }
        }

        void clearFaults() {
            isolated = "";
            blockedPair = "";
            fleet.platform.down = false;
            fleet.platform.delayMs = 2;
            nodes.forEach(node -> {
                node.staleByMs = 0;
                node.platformReachable = true;
            });
        }
    }
}
