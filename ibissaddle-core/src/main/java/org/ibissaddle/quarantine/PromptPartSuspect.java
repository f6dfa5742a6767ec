package org.ibissaddle.quarantine;

import java.util.HashMap;
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
    private final Map<Crash, Long> crashTimesMs = new HashMap<>();
    private int probes;

    PromptPartSuspect(Set<Region> homes) {
        this.homes = homes;
    }

    Set<Region> homes() {
        return homes;
    }

    Map<Crash, Long> crashTimesMs() {
        return crashTimesMs;
    }

    int crashes() {
        return crashTimesMs.size();
    }

    /** Number of probes sent by the local instance. */
    int probes() {
        return probes;
    }

    void recordProbe() {
        probes++;
    }

    void addCrash(Crash crash, long atMs) {
        if (crashTimesMs.size() < MAX_CRASHES || crashTimesMs.containsKey(crash)) {
            crashTimesMs.merge(crash, atMs, Math::min);
        }
    }

    void removeCrashesUntil(long timeMs) {
        crashTimesMs.values().removeIf(atMs -> atMs <= timeMs);
    }

    long latestMs() {
        return crashTimesMs.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE);
    }

    /** Number of crashes that don't have a common cause with an earlier one. */
    int independentCrashes() {
        int count = 0;
        long countedMs = 0;
        for (long atMs : crashTimesMs.values().stream().sorted().toList()) {
            if (count == 0 || atMs - countedMs >= MIN_CRASH_GAP_MS) {
                count++;
                countedMs = atMs;
            }
        }
        return count;
    }

    /** Whether another part was in flight at all crashes of this one and at more besides. */
    boolean isExplainedBy(PromptPartSuspect other) {
        return other.crashes() > crashes() && other.crashTimesMs.keySet().containsAll(crashTimesMs.keySet());
    }
}
