package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.ibissaddle.id.Region;

/**
 * Detects prompt parts that crash the servers that run them, whatever else a prompt holds. All shared parts in flight
 * at a crash are marked. A complete response clears the parts of its prompt, because the server survived them. A part
 * that stays marked after several crashes is refused, unless another part explains its crashes. From time to time a
 * probe shows whether a refused part is sound.
 *
 * <p>The instances exchange marks and proofs. Content that is bound to regions is mentioned only there. Not
 * thread-safe; confined to one thread.
 */
public final class PromptPartQuarantine {
    /** Number of independent crashes at which a part is refused. */
    private static final int MAX_CRASHES = 3;
    /** Time for which the latest crash of a part is remembered, milliseconds. */
    private static final long RETENTION_MS = 600_000;
    /** Time for which a complete response proves that a part is sound, milliseconds. */
    private static final long PROOF_VALIDITY_MS = 30_000;
    /** Time from the latest crash of a refused part to the first probe, milliseconds; doubled for each later one. */
    private static final long PROBE_DELAY_MS = 30_000;
    /** Time for which a new mark or proof is sent to other instances, milliseconds: four rounds of messages. */
    private static final long NEWS_MS = 2_000;
    /** Interval in which the refused parts are sent to instances that may have missed them, milliseconds. */
    private static final long REFUSED_PARTS_INTERVAL_MS = 2_000;
    /** Part of that interval in which they are sent, milliseconds: one round of messages. */
    private static final long REFUSED_PARTS_WINDOW_MS = 500;

    private static final int MAX_PROBE_DOUBLINGS = 8;
    private static final int MAX_SUSPECTS = 512;
    private static final int MAX_PROOFS = 4_096;
    private static final int MAX_CONTESTS = 128;
    private static final int MAX_SHARED_MARKS = 128;

    private final Map<String, PromptPartSuspect> suspects = new HashMap<>();
    private final Map<String, Long> proofTimesMs = new BoundedMap<>(MAX_PROOFS);
    private final Map<String, Contest> contests = new BoundedMap<>(MAX_CONTESTS);

    /** A part that the local instance has seen complete and that an instance has marked. */
    private record Contest(Set<Region> homes, long sinceMs) {}

    /**
     * Marks the parts of a request that was in flight at a crash.
     *
     * @param crash the crash
     * @param parts ids of the parts that other requests may share
     * @param homes regions that the content is bound to, empty if unbound
     * @param nowMs current time, milliseconds
     */
    public void recordCrash(Crash crash, Collection<String> parts, Set<Region> homes, long nowMs) {
        for (String part : parts) {
            mark(part, crash, homes, nowMs, nowMs);
        }
    }

    /**
     * Clears the parts of a request whose response was complete.
     *
     * @param parts ids of the parts that other requests may share
     * @param nowMs current time, milliseconds
     * @return whether one of them was marked
     */
    public boolean recordCompletion(Collection<String> parts, long nowMs) {
        boolean marked = false;
        for (String part : parts) {
            proofTimesMs.put(part, nowMs);
            PromptPartSuspect cleared = suspects.remove(part);
            if (cleared != null) {
                contests.put(part, new Contest(cleared.homes(), nowMs));
                marked = true;
            }
        }
        return marked;
    }

    /**
     * Checks a request before it is sent.
     *
     * @param parts ids of the parts that other requests may share
     * @param mayProbe whether the local instance sends the probes of a part
     * @param nowMs current time, milliseconds
     * @return the part for which the request is refused, empty if it may be sent
     */
    public Optional<RefusedPart> check(Collection<String> parts, Predicate<String> mayProbe, long nowMs) {
        if (suspects.isEmpty()) {
            return Optional.empty();
        }
        for (String part : parts) {
            PromptPartSuspect suspect = suspects.get(part);
            if (suspect == null || !isRefused(suspect, nowMs)) {
                continue;
            }
            long probeMs = suspect.latestMs() + (PROBE_DELAY_MS << Math.min(suspect.probes(), MAX_PROBE_DOUBLINGS));
            if (nowMs < probeMs || !mayProbe.test(part)) {
                return Optional.of(new RefusedPart(part, suspect.crashes(), Math.max(probeMs, nowMs)));
            }
            suspect.recordProbe();
        }
        return Optional.empty();
    }

    /**
     * Returns the refused parts.
     *
     * @param nowMs current time, milliseconds
     * @return number of known crashes by id of the part
     */
    public Map<String, Integer> refusedParts(long nowMs) {
        Map<String, Integer> refused = new HashMap<>();
        suspects.forEach((part, suspect) -> {
            if (isRefused(suspect, nowMs)) {
                refused.put(part, suspect.crashes());
            }
        });
        return refused;
    }

    /**
     * Applies what another instance knows.
     *
     * @param update the update
     * @param nowMs current time, milliseconds
     */
    public void merge(PromptPartUpdate update, long nowMs) {
        for (PromptPartUpdate.Mark mark : update.marks()) {
            mark(mark.part(), mark.crash(), mark.homes(), nowMs - Math.max(0, mark.ageMs()), nowMs);
        }
        for (PromptPartUpdate.Proof proof : update.proofs()) {
            PromptPartSuspect suspect = suspects.get(proof.part());
            if (suspect == null) {
                continue;
            }
            suspect.removeCrashesUntil(nowMs - Math.max(0, proof.ageMs()));
            if (suspect.crashes() == 0) {
                suspects.remove(proof.part());
            }
        }
    }

    /**
     * Returns what to send to another instance: new marks, the local proofs for parts that an instance has marked, and
     * from time to time the marks that suffice to refuse the refused parts.
     *
     * @param recipient region of the recipient, empty if unknown
     * @param nowMs current time, milliseconds
     * @return the update
     */
    public PromptPartUpdate updateFor(Optional<Region> recipient, long nowMs) {
        suspects.values().removeIf(suspect -> isExpired(suspect, nowMs));
        contests.values().removeIf(contest -> nowMs - contest.sinceMs() >= NEWS_MS);
        if (suspects.isEmpty() && contests.isEmpty()) {
            return PromptPartUpdate.NONE;
        }
        List<PromptPartUpdate.Mark> marks = new ArrayList<>();
        suspects.forEach((part, suspect) -> addMarks(part, suspect, recipient, nowMs, marks));
        marks.sort(Comparator.comparingInt((PromptPartUpdate.Mark mark) ->
                        -suspects.get(mark.part()).crashes())
                .thenComparingLong(PromptPartUpdate.Mark::ageMs));
        List<PromptPartUpdate.Proof> proofs = new ArrayList<>();
        contests.forEach((part, contest) -> {
            if (isAllowed(contest.homes(), recipient) && isProven(part, nowMs)) {
                proofs.add(new PromptPartUpdate.Proof(part, contest.homes(), nowMs - proofTimesMs.get(part)));
            }
        });
        return new PromptPartUpdate(marks.subList(0, Math.min(MAX_SHARED_MARKS, marks.size())), proofs);
    }

    private void addMarks(
            String part,
            PromptPartSuspect suspect,
            Optional<Region> recipient,
            long nowMs,
            Collection<PromptPartUpdate.Mark> marks) {
        Set<Crash> shared = new HashSet<>(suspect.crashesLearnedAfter(nowMs - NEWS_MS));
        if (Math.floorMod(nowMs, REFUSED_PARTS_INTERVAL_MS) < REFUSED_PARTS_WINDOW_MS && isRefused(suspect, nowMs)) {
            shared.addAll(suspect.independentCrashes().subList(0, MAX_CRASHES));
        }
        for (Crash crash : shared) {
            Set<Region> homes = suspect.homes(crash);
            if (isAllowed(homes, recipient)) {
                marks.add(new PromptPartUpdate.Mark(part, crash, homes, nowMs - suspect.timeMs(crash)));
            }
        }
    }

    private void mark(String part, Crash crash, Set<Region> homes, long atMs, long nowMs) {
        if (isProven(part, nowMs)) {
            contests.put(part, new Contest(homes, nowMs));
            return;
        }
        if (nowMs - atMs >= RETENTION_MS) {
            return;
        }
        suspects.computeIfAbsent(part, id -> new PromptPartSuspect()).addCrash(crash, homes, atMs, nowMs);
        if (suspects.size() > MAX_SUSPECTS) {
            suspects.values()
                    .remove(suspects.values().stream()
                            .min(Comparator.comparingInt(PromptPartSuspect::crashes)
                                    .thenComparingLong(PromptPartSuspect::latestMs))
                            .orElseThrow());
        }
    }

    private boolean isProven(String part, long nowMs) {
        Long provenMs = proofTimesMs.get(part);
        return provenMs != null && nowMs - provenMs < PROOF_VALIDITY_MS;
    }

    private boolean isRefused(PromptPartSuspect suspect, long nowMs) {
        return suspect.crashes() >= MAX_CRASHES
                && suspect.independentCrashes().size() >= MAX_CRASHES
                && !isExpired(suspect, nowMs)
                && suspects.values().stream().noneMatch(suspect::isExplainedBy);
    }

    private static boolean isExpired(PromptPartSuspect suspect, long nowMs) {
        return nowMs - suspect.latestMs() >= RETENTION_MS;
    }

    private static boolean isAllowed(Set<Region> homes, Optional<Region> recipient) {
        return homes.isEmpty() || recipient.filter(homes::contains).isPresent();
    }

    /** A map that drops the least recently used entry when it is full. */
    private static final class BoundedMap<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        private final int maxSize;

        BoundedMap(int maxSize) {
            super(16, 0.75f, true);
            this.maxSize = maxSize;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > maxSize;
        }
    }
}
