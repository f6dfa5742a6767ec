package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ibissaddle.id.Region;

/** The crashes at which one key was in flight. Not thread-safe. */
final class CrashSuspect {
    /** Maximum number of crashes that are remembered for a key. */
    private static final int MAX_CRASHES = 32;
    /** Crashes that are closer together count as one, because one cause often ends several servers, milliseconds. */
    private static final long MIN_CRASH_GAP_MS = 200;

    private final Map<Crash, Observation> crashes = new HashMap<>();
    private int probes;

    private record Observation(Set<Region> homes, long crashMs, long learnedMs) {}

    /** Returns the regions that the content in flight at a crash is bound to, empty if it is unbound. */
    Set<Region> homes(Crash crash) {
        return crashes.get(crash).homes();
    }

    /** Returns the regions of the first crash with bound content, empty if there is none. */
    Set<Region> homes() {
        return crashes.values().stream()
                .map(Observation::homes)
                .filter(homes -> !homes.isEmpty())
                .findFirst()
                .orElse(Set.of());
    }

    int crashes() {
        return crashes.size();
    }

    /** Number of probes sent by the local instance. */
    int probes() {
        return probes;
    }

    void recordProbe() {
        probes++;
    }

    void addCrash(Crash crash, Set<Region> homes, long crashMs, long nowMs) {
        Observation known = crashes.get(crash);
        if (known == null && crashes.size() < MAX_CRASHES) {
            crashes.put(crash, new Observation(homes, crashMs, nowMs));
        } else if (known != null) {
            Set<Region> bound = known.homes().isEmpty() ? homes : known.homes();
            crashes.put(crash, new Observation(bound, Math.min(crashMs, known.crashMs()), known.learnedMs()));
        }
    }

    void removeCrashesUntil(long timeMs) {
        crashes.values().removeIf(observation -> observation.crashMs() <= timeMs);
    }

    long timeMs(Crash crash) {
        return crashes.get(crash).crashMs();
    }

    long latestMs() {
        return crashes.values().stream().mapToLong(Observation::crashMs).max().orElse(Long.MIN_VALUE);
    }

    List<Crash> crashesLearnedAfter(long timeMs) {
        return crashes.entrySet().stream()
                .filter(entry -> entry.getValue().learnedMs() > timeMs)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the crashes that don't have a common cause with an earlier one, in order of time. */
    List<Crash> independentCrashes() {
        List<Crash> inOrder = new ArrayList<>(crashes.keySet());
        inOrder.sort(Comparator.comparingLong(this::timeMs));
        List<Crash> independent = new ArrayList<>();
        for (Crash crash : inOrder) {
            if (independent.isEmpty() || timeMs(crash) - timeMs(independent.getLast()) >= MIN_CRASH_GAP_MS) {
                independent.add(crash);
            }
        }
        return independent;
    }

    /** Whether another key was in flight at all crashes of this one and at more besides. */
    boolean isExplainedBy(CrashSuspect other) {
        return other.crashes() > crashes() && other.crashes.keySet().containsAll(crashes.keySet());
    }
}
