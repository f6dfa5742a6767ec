package org.ibissaddle.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures control traffic, CPU time and heap per instance for growing fleets, and the read rate at the platform. */
@Tag("benchmark")
class ControlTrafficBenchmark {
    private static final int[][] SIZES = {{4, 11}, {40, 63}, {120, 190}, {380, 600}};
    private static final long SETTLE_MS = 60_000;
    private static final long WINDOW_MS = 120_000;

    @Test
    void shouldStayWithinTheControlTrafficBudget() {
        System.out.println("members servers bytes/s max-bytes/s cpu% heap-kB note-ms reads/s storm-reads/s ready-ms");
        for (int[] size : SIZES) {
            measure(size[0], size[1]);
        }
    }

    private static void measure(int members, int servers) {
        long heapBefore = usedHeap();
        MemoryFleet fleet = MemoryFleet.of(members, members, servers);
        fleet.platform.publish("note", ControlLoopTest.note(1), fleet.nowMs);
        long readyMs =
                fleet.runUntil(() -> fleet.nodes.values().stream().allMatch(node -> node.loop.isReady()), SETTLE_MS);
        int startReads = fleet.platform.peakReadsPerSecond(0);
        fleet.run(SETTLE_MS);
        fleet.nodes.values().forEach(node -> {
            node.bytes = 0;
            node.cpuNanos = 0;
        });
        long fromMs = fleet.nowMs;
        fleet.run(WINDOW_MS);
        double seconds = WINDOW_MS / 1_000.0;
        double mean = fleet.nodes.values().stream()
                        .mapToLong(node -> node.bytes)
                        .average()
                        .orElseThrow()
                / seconds;
        double max = fleet.nodes.values().stream()
                        .mapToLong(node -> node.bytes)
                        .max()
                        .orElseThrow()
                / seconds;
        double cpu = fleet.nodes.values().stream()
                        .mapToLong(node -> node.cpuNanos)
                        .average()
                        .orElseThrow()
                / seconds
                / 1e7;
        double reads = fleet.platform.readsPerSecond(fromMs, fleet.nowMs);
        long heap = (usedHeap() - heapBefore) / members / 1_000;
        fleet.platform.publish("note", ControlLoopTest.note(2), fleet.nowMs);
        long noteMs = fleet.runUntil(() -> fleet.allHaveNote(2), SETTLE_MS);
        int peakReads = Math.max(startReads, peakReadsAfterRestart(fleet));
        System.out.println(String.format(
                Locale.ROOT,
                "%d %d %.0f %.0f %.3f %d %d %.1f %d %d",
                members,
                servers,
                mean,
                max,
                cpu,
                heap,
                noteMs,
                reads,
                peakReads,
                readyMs));
        assertThat(max).isLessThan(9_000);
        assertThat(peakReads).isLessThan(2_000);
        assertThat(noteMs).isLessThan(11_000);
    }

    private static int peakReadsAfterRestart(MemoryFleet fleet) {
        fleet.platform.down = true;
        fleet.run(120_000);
        long fromMs = fleet.nowMs;
        fleet.nodes.values().forEach(MemoryFleet.Node::stop);
        fleet.platform.down = false;
        fleet.nodes.values().forEach(MemoryFleet.Node::start);
        fleet.run(30_000);
        return fleet.platform.peakReadsPerSecond(fromMs);
    }

    @Test
    void shouldReadALargeNote() throws NoteRejectedException {
        String text = ControlLoopTest.note(1)
                + IntStream.range(0, 15_000)
                        .mapToObj(i -> "[workspace yard-" + i + "]\nhome = r" + i % 3
                                + "\nrequests-per-second = 2.5\nweight = 1\npriority = 5\n")
                        .collect(Collectors.joining());
        NoteReader.read(text);
        long before = usedHeap();
        long fromNanos = System.nanoTime();
        ReleaseNote note = NoteReader.read(text);
        long readMs = (System.nanoTime() - fromNanos) / 1_000_000;
        long heap = (usedHeap() - before) / 1_000;
        String delta = "[note]\nnumber = 2\nbase = 1\n[add workspace late]\nrequests-per-second = 1\n";
        long deltaNanos = System.nanoTime();
        ReleaseNote next = NoteReader.read(delta, n -> java.util.Optional.of(note));
        long deltaMs = (System.nanoTime() - deltaNanos) / 1_000_000;
        System.out.println("note of 15000 workspaces: text " + text.length() + " bytes, read in " + readMs
                + " ms, heap " + heap + " kB, a change applied in " + deltaMs + " ms");
        assertThat(next.workspaces()).hasSize(note.workspaces().size() + 1);
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
