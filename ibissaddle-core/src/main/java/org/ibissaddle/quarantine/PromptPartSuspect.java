package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ibissaddle.id.Region;

/** The crashes at which one prompt part was in flight. Not thread-safe. */
final class PromptPartSuspect {
    /** Maximum number of crashes that are remembered for a part. */
    private static final int MAX_CRASHES = 32;
    /** Crashes that are closer together count as one, because one cause often ends several servers, milliseconds. */
    private static final long MIN_CRASH_GAP_MS = 200;

    private final Set<Region> homes;
    private final Map<Crash, Times> crashes = new HashMap<>();
    private int probes;

    private record Times(long crashMs, long learnedMs) {}

    PromptPartSuspect(Set<Region> homes) {
        this.homes = homes;
    }

    Set<Region> homes() {
        return homes;
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

    void addCrash(Crash crash, long crashMs, long nowMs) {
        Times known = crashes.get(crash);
        if (known == null && crashes.size() < MAX_CRASHES) {
            crashes.put(crash, new Times(crashMs, nowMs));
        } else if (known != null && crashMs < known.crashMs()) {
            crashes.put(crash, new Times(crashMs, known.learnedMs()));
        }
    }

    void removeCrashesUntil(long timeMs) {
        crashes.values().removeIf(times -> times.crashMs() <= timeMs);
    }

    long timeMs(Crash crash) {
        return crashes.get(crash).crashMs();
    }

    long latestMs() {
        return crashes.values().stream().mapToLong(Times::crashMs).max().orElse(Long.MIN_VALUE);
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

    /** Whether another part was in flight at all crashes of this one and at more besides. */
    boolean isExplainedBy(PromptPartSuspect other) {
        return other.crashes() > crashes() && other.crashes.keySet().containsAll(crashes.keySet());
    }
}
