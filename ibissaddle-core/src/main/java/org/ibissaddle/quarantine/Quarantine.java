package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.id.Region;

/** The marks and clearances known to one instance. Merging is commutative, associative and idempotent. */
public final class Quarantine {
    private final long retentionMs;
    private final int maxMarks;
    private final int maxCrashes;
    private final AtomicReference<State> state = new AtomicReference<>(new State(Map.of(), Map.of(), Map.of()));

    /**
     * Creates an empty quarantine.
     *
     * @param retentionMs how long a mark stays valid, milliseconds
     * @param maxMarks maximum number of marks kept
     * @param maxCrashes number of crashes at which a request is refused regardless of other requests in flight
     */
    public Quarantine(long retentionMs, int maxMarks, int maxCrashes) {
        this.retentionMs = retentionMs;
        this.maxMarks = maxMarks;
        this.maxCrashes = maxCrashes;
    }

    /**
     * Returns the quarantine status of a request.
     *
     * @param request fingerprint of the request
     * @param nowMs current time, epoch milliseconds
     * @return the status of the request
     */
    public QuarantineStatus status(Fingerprint request, long nowMs) {
        Assessment assessment = state.get().assessments().get(request);
        if (assessment == null || assessment.latestMs() + retentionMs <= nowMs) {
            return new QuarantineStatus.NotQuarantined();
        }
        return assessment.refused()
                ? new QuarantineStatus.Refused(assessment.latestMs() + retentionMs)
                : new QuarantineStatus.Isolated(assessment.crashes());
    }

    /**
     * Returns whether no request is marked.
     *
     * @return whether no request is marked
     */
    public boolean isEmpty() {
        return state.get().assessments().isEmpty();
    }

    /**
     * Marks the requests that were in flight at a crash.
     *
     * @param crash the crash
     * @param inFlight fingerprints of the requests, each with the region that its content is bound to
     * @param nowMs current time, epoch milliseconds
     * @return the update to send to the instances of the region
     */
    public QuarantineUpdate recordCrash(Crash crash, Map<Fingerprint, Optional<Region>> inFlight, long nowMs) {
        List<CrashMark> newMarks = new ArrayList<>();
        inFlight.forEach((request, home) -> {
            boolean suspect = status(request, nowMs) instanceof QuarantineStatus.Isolated;
            newMarks.add(new CrashMark(request, crash, suspect, nowMs, home));
        });
        QuarantineUpdate update = new QuarantineUpdate(newMarks, List.of());
        merge(update, nowMs);
        return update;
    }

    /**
     * Clears the marks of a request that has completed.
     *
     * @param request fingerprint of the request
     * @param nowMs current time, epoch milliseconds
     * @return the update to send to the instances of the region, empty if the request was not marked
     */
    public QuarantineUpdate recordCompletion(Fingerprint request, long nowMs) {
        if (!state.get().assessments().containsKey(request)) {
            return QuarantineUpdate.NONE;
        }
        QuarantineUpdate update = new QuarantineUpdate(List.of(), List.of(new Clearance(request, nowMs)));
        merge(update, nowMs);
        return update;
    }

    /**
     * Merges an update from another instance of the region.
     *
     * @param update marks and clearances of the other instance
     * @param nowMs current time, epoch milliseconds
     */
    public void merge(QuarantineUpdate update, long nowMs) {
        state.updateAndGet(current -> apply(current, update, nowMs - retentionMs));
    }

    /**
     * Returns the marks and clearances that may be sent to instances of a region.
     *
     * @param region the region
     * @return marks of unbound content and of content bound to that region, and all clearances
     */
    public QuarantineUpdate shareableWith(Region region) {
        State current = state.get();
        List<CrashMark> marks = current.marks().values().stream()
                .filter(mark -> mark.home().map(region::equals).orElse(true))
                .toList();
        List<Clearance> clearances = new ArrayList<>();
        current.clearedAtMs().forEach((request, atMs) -> clearances.add(new Clearance(request, atMs)));
        return new QuarantineUpdate(marks, clearances);
    }

    private State apply(State current, QuarantineUpdate update, long cutoffMs) {
        Map<Fingerprint, Long> cleared = new HashMap<>(current.clearedAtMs());
        update.clearances().forEach(clearance -> cleared.merge(clearance.request(), clearance.atMs(), Math::max));
        cleared.values().removeIf(atMs -> atMs <= cutoffMs);
        Map<MarkKey, CrashMark> marks = new HashMap<>(current.marks());
        update.marks()
                .forEach(mark -> marks.merge(new MarkKey(mark.request(), mark.crash()), mark, Quarantine::mergeMarks));
        marks.values()
                .removeIf(mark -> mark.atMs() <= cutoffMs || mark.atMs() <= cleared.getOrDefault(mark.request(), 0L));
        dropOldest(marks);
        return new State(Map.copyOf(marks), Map.copyOf(cleared), Map.copyOf(Assessment.of(marks.values(), maxCrashes)));
    }

    private static CrashMark mergeMarks(CrashMark a, CrashMark b) {
        CrashMark first = a.atMs() <= b.atMs() ? a : b;
        boolean suspect = a.suspect() || b.suspect();
        Optional<Region> home = a.home().or(b::home);
        return new CrashMark(first.request(), first.crash(), suspect, first.atMs(), home);
    }

    private void dropOldest(Map<MarkKey, CrashMark> marks) {
        if (marks.size() <= maxMarks) {
            return;
        }
        List<CrashMark> oldestFirst = new ArrayList<>(marks.values());
        oldestFirst.sort(Comparator.comparingLong(CrashMark::atMs));
        for (CrashMark mark : oldestFirst.subList(0, marks.size() - maxMarks)) {
            marks.remove(new MarkKey(mark.request(), mark.crash()));
        }
    }

    private record MarkKey(Fingerprint request, Crash crash) {}

    private record State(
            Map<MarkKey, CrashMark> marks,
            Map<Fingerprint, Long> clearedAtMs,
            Map<Fingerprint, Assessment> assessments) {}
}
