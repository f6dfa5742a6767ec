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
 * Detects content of requests that crashes the servers that run it. The content of a request is named by keys: the ids
 * of the prompt parts that other requests share, or the fingerprint of the whole request. All keys in flight at a crash
 * are marked. A complete response clears the keys of its request, because the server survived them. A key that stays
 * marked after several crashes is refused, unless another key explains its crashes.
 *
 * <p>The instances exchange marks and proofs. Content that is bound to regions is mentioned only there. Not
 * thread-safe; confined to one thread.
 */
public final class CrashQuarantine {
    /** Number of independent crashes at which a key is refused. */
    private static final int MAX_CRASHES = 3;
    /** Time for which the latest crash of a key is remembered, milliseconds. */
    private static final long RETENTION_MS = 600_000;
    /** Time for which a complete response proves that a key is sound, milliseconds. */
    private static final long PROOF_VALIDITY_MS = 30_000;
    /** Time from the latest crash of a refused key to the first probe, milliseconds; doubled for each later one. */
    private static final long PROBE_DELAY_MS = 30_000;
    /** Time for which a new mark or proof is sent to other instances, milliseconds: four rounds of messages. */
    private static final long NEWS_MS = 2_000;
    /** Interval in which the refused keys are sent to instances that may have missed them, milliseconds. */
    private static final long REFUSED_KEYS_INTERVAL_MS = 2_000;
    /** Part of that interval in which they are sent, milliseconds: one round of messages. */
    private static final long REFUSED_KEYS_WINDOW_MS = 500;

    private static final int MAX_PROBE_DOUBLINGS = 8;
    private static final int MAX_SUSPECTS = 512;
    private static final int MAX_PROOFS = 4_096;
    private static final int MAX_CONTESTS = 128;
    private static final int MAX_SHARED_PART_MARKS = 128;
    private static final int MAX_SHARED_REQUEST_MARKS = 32;

    private final Map<String, CrashSuspect> suspects = new HashMap<>();
    private final Map<String, Long> proofTimesMs = new BoundedMap<>(MAX_PROOFS);
    /** Times of the latest complete responses that other instances reported. */
    private final Map<String, Long> reportedProofTimesMs = new BoundedMap<>(MAX_PROOFS);

    private final Map<String, Contest> contests = new BoundedMap<>(MAX_CONTESTS);

    private final boolean probing;
    private final int maxSharedMarks;

    private CrashQuarantine(boolean probing, int maxSharedMarks) {
        this.probing = probing;
        this.maxSharedMarks = maxSharedMarks;
    }

    /**
     * Creates a quarantine of prompt parts. From time to time a probe shows whether a refused part is sound, since
     * different requests share it.
     *
     * @return an empty quarantine
     */
    public static CrashQuarantine forPromptParts() {
        return new CrashQuarantine(true, MAX_SHARED_PART_MARKS);
    }

    /**
     * Creates a quarantine of whole requests. There are no probes: the same request would crash one more server.
     *
     * @return an empty quarantine
     */
    public static CrashQuarantine forRequests() {
        return new CrashQuarantine(false, MAX_SHARED_REQUEST_MARKS);
    }

    /** A key that the local instance has seen complete and that an instance has marked. */
    private record Contest(Set<Region> homes, long sinceMs) {}

    /**
     * Marks the keys of a request that was in flight at a crash.
     *
     * @param crash the crash
     * @param keys the keys of the request
     * @param homes regions that the content is bound to, empty if unbound
     * @param nowMs current time, milliseconds
     */
    public void recordCrash(Crash crash, Collection<String> keys, Set<Region> homes, long nowMs) {
        recordCrash(crash, keys, homes, nowMs, nowMs);
    }

    /**
     * Marks the keys of a request that was in flight at an earlier crash, except those that have completed since.
     *
     * @param crash the crash
     * @param keys the keys of the request
     * @param homes regions that the content is bound to, empty if unbound
     * @param crashMs time of the crash, milliseconds
     * @param nowMs current time, milliseconds
     */
    public void recordCrash(Crash crash, Collection<String> keys, Set<Region> homes, long crashMs, long nowMs) {
        for (String key : keys) {
            mark(key, crash, homes, crashMs, nowMs);
        }
    }

    /**
     * Clears the keys of a request whose response was complete.
     *
     * @param keys the keys of the request
     * @param nowMs current time, milliseconds
     * @return whether one of them was marked
     */
    public boolean recordCompletion(Collection<String> keys, long nowMs) {
        boolean marked = false;
        for (String key : keys) {
            proofTimesMs.put(key, nowMs);
            CrashSuspect cleared = suspects.remove(key);
            if (cleared != null) {
                contests.put(key, new Contest(cleared.homes(), nowMs));
                marked = true;
            }
        }
        return marked;
    }

    /**
     * Checks a request before it is sent.
     *
     * @param keys the keys of the request
     * @param mayProbe whether the local instance sends the probes of a key, if there are probes
     * @param nowMs current time, milliseconds
     * @return the key for which the request is refused, empty if it may be sent
     */
    public Optional<RefusedContent> check(Collection<String> keys, Predicate<String> mayProbe, long nowMs) {
        if (suspects.isEmpty()) {
            return Optional.empty();
        }
        for (String key : keys) {
            CrashSuspect suspect = suspects.get(key);
            if (suspect == null || !isRefused(suspect, nowMs)) {
                continue;
            }
            long endMs = refusalEndMs(suspect);
            if (nowMs < endMs || !mayProbe.test(key)) {
                return Optional.of(new RefusedContent(key, suspect.crashes(), Math.max(endMs, nowMs)));
            }
            suspect.recordProbe();
        }
        return Optional.empty();
    }

    private long refusalEndMs(CrashSuspect suspect) {
        long durationMs = probing ? PROBE_DELAY_MS << Math.min(suspect.probes(), MAX_PROBE_DOUBLINGS) : RETENTION_MS;
        return suspect.latestMs() + durationMs;
    }

    /**
     * Returns whether no key is marked.
     *
     * @return true if every request may be sent
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Returns whether a key is marked.
     *
     * @param key the key
     * @param nowMs current time, milliseconds
     * @return true if it was in flight at a crash and has not been cleared
     */
    public boolean isMarked(String key, long nowMs) {
        CrashSuspect suspect = suspects.get(key);
        return suspect != null && !isExpired(suspect, nowMs);
    }

    /**
     * Returns the refused keys.
     *
     * @param nowMs current time, milliseconds
     * @return number of known crashes by key
     */
    public Map<String, Integer> refusedKeys(long nowMs) {
        Map<String, Integer> refused = new HashMap<>();
        suspects.forEach((key, suspect) -> {
            if (isRefused(suspect, nowMs)) {
                refused.put(key, suspect.crashes());
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
    public void merge(CrashUpdate update, long nowMs) {
        for (CrashUpdate.Mark mark : update.marks()) {
            mark(mark.key(), mark.crash(), mark.homes(), nowMs - Math.max(0, mark.ageMs()), nowMs);
        }
        for (CrashUpdate.Proof proof : update.proofs()) {
            long provenMs = nowMs - Math.max(0, proof.ageMs());
            reportedProofTimesMs.merge(proof.key(), provenMs, Math::max);
            CrashSuspect suspect = suspects.get(proof.key());
            if (suspect == null) {
                continue;
            }
            suspect.removeCrashesUntil(provenMs);
            if (suspect.crashes() == 0) {
                suspects.remove(proof.key());
            }
        }
    }

    /**
     * Returns what to send to another instance: new marks, the local proofs for keys that an instance has marked, and
     * from time to time the marks that suffice to refuse the refused keys.
     *
     * @param recipient region of the recipient, empty if unknown
     * @param nowMs current time, milliseconds
     * @return the update
     */
    public CrashUpdate updateFor(Optional<Region> recipient, long nowMs) {
        suspects.values().removeIf(suspect -> isExpired(suspect, nowMs));
        contests.values().removeIf(contest -> nowMs - contest.sinceMs() >= NEWS_MS);
        if (suspects.isEmpty() && contests.isEmpty()) {
            return CrashUpdate.NONE;
        }
        List<CrashUpdate.Mark> marks = new ArrayList<>();
        suspects.forEach((key, suspect) -> addMarks(key, suspect, recipient, nowMs, marks));
        marks.sort(Comparator.comparingInt(
                        (CrashUpdate.Mark mark) -> -suspects.get(mark.key()).crashes())
                .thenComparingLong(CrashUpdate.Mark::ageMs));
        List<CrashUpdate.Proof> proofs = new ArrayList<>();
        contests.forEach((key, contest) -> {
            if (isAllowed(contest.homes(), recipient) && isProven(key, nowMs)) {
                proofs.add(new CrashUpdate.Proof(key, contest.homes(), nowMs - proofTimesMs.get(key)));
            }
        });
        return new CrashUpdate(marks.subList(0, Math.min(maxSharedMarks, marks.size())), proofs);
    }

    private void addMarks(
            String key,
            CrashSuspect suspect,
            Optional<Region> recipient,
            long nowMs,
            Collection<CrashUpdate.Mark> marks) {
        Set<Crash> shared = new HashSet<>(suspect.crashesLearnedAfter(nowMs - NEWS_MS));
        if (Math.floorMod(nowMs, REFUSED_KEYS_INTERVAL_MS) < REFUSED_KEYS_WINDOW_MS && isRefused(suspect, nowMs)) {
            shared.addAll(suspect.independentCrashes().subList(0, MAX_CRASHES));
        }
        for (Crash crash : shared) {
            Set<Region> homes = suspect.homes(crash);
            if (isAllowed(homes, recipient)) {
                marks.add(new CrashUpdate.Mark(key, crash, homes, nowMs - suspect.timeMs(crash)));
            }
        }
    }

    private void mark(String key, Crash crash, Set<Region> homes, long atMs, long nowMs) {
        if (isProven(key, nowMs)) {
            contests.put(key, new Contest(homes, nowMs));
            return;
        }
        if (nowMs - atMs >= RETENTION_MS || reportedProofTimesMs.getOrDefault(key, Long.MIN_VALUE) >= atMs) {
            return;
        }
        suspects.computeIfAbsent(key, id -> new CrashSuspect()).addCrash(crash, homes, atMs, nowMs);
        if (suspects.size() > MAX_SUSPECTS) {
            suspects.values()
                    .remove(suspects.values().stream()
                            .min(Comparator.comparingInt(CrashSuspect::crashes)
                                    .thenComparingLong(CrashSuspect::latestMs))
                            .orElseThrow());
        }
    }

    private boolean isProven(String key, long nowMs) {
        Long provenMs = proofTimesMs.get(key);
        return provenMs != null && nowMs - provenMs < PROOF_VALIDITY_MS;
    }

    private boolean isRefused(CrashSuspect suspect, long nowMs) {
        return suspect.crashes() >= MAX_CRASHES
                && suspect.independentCrashes().size() >= MAX_CRASHES
                && !isExpired(suspect, nowMs)
                && suspects.values().stream().noneMatch(suspect::isExplainedBy);
    }

    private static boolean isExpired(CrashSuspect suspect, long nowMs) {
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
