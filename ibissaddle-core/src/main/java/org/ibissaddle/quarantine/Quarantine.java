package org.ibissaddle.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.id.Region;

/** The marks that one instance knows. Merging is commutative, associative and idempotent. */
public final class Quarantine {
    private final long keepMs;
    private final int maxMarks;
    private final int maxCrashes;
    private final AtomicReference<Known> known = new AtomicReference<>(new Known(Map.of(), Map.of(), Map.of()));

    /**
     * Makes an empty quarantine.
     *
     * @param keepMs how long a mark counts, milliseconds
     * @param maxMarks most marks kept
     * @param maxCrashes crashes after which a request is refused whatever else was in flight
     */
    public Quarantine(long keepMs, int maxMarks, int maxCrashes) {
        this.keepMs = keepMs;
        this.maxMarks = maxMarks;
        this.maxCrashes = maxCrashes;
    }

    /**
     * Tells how a request is run.
     *
     * @param request its fingerprint
     * @param nowMs current time, epoch milliseconds
     * @return its standing
     */
    public Standing standing(Fingerprint request, long nowMs) {
        Judgement found = known.get().judgements().get(request);
        if (found == null || found.latestMs() + keepMs <= nowMs) {
            return new Standing.Free();
        }
        return found.refused() ? new Standing.Refused(found.latestMs() + keepMs) : new Standing.Apart(found.crashes());
    }

    /**
     * Tells whether any request is marked.
     *
     * @return whether every request is free
     */
    public boolean isEmpty() {
        return known.get().judgements().isEmpty();
    }

    /**
     * Marks the requests that were in flight at a crash.
     *
     * @param crash the crash
     * @param inFlight the requests, with the region that each is bound to
     * @param nowMs current time, epoch milliseconds
     * @return what to tell the instances of the region
     */
    public Suspicions crashed(Crash crash, Map<Fingerprint, Optional<Region>> inFlight, long nowMs) {
        List<Mark> fresh = new ArrayList<>();
        inFlight.forEach((request, home) -> {
            boolean suspect = standing(request, nowMs) instanceof Standing.Apart;
            fresh.add(new Mark(request, crash, suspect, nowMs, home));
        });
        Suspicions news = new Suspicions(fresh, List.of());
        merge(news, nowMs);
        return news;
    }

    /**
     * Clears a request that has completed.
     *
     * @param request its fingerprint
     * @param nowMs current time, epoch milliseconds
     * @return what to tell the instances of the region; nothing when it was not marked
     */
    public Suspicions completed(Fingerprint request, long nowMs) {
        if (!known.get().judgements().containsKey(request)) {
            return Suspicions.NONE;
        }
        Suspicions news = new Suspicions(List.of(), List.of(new Clearance(request, nowMs)));
        merge(news, nowMs);
        return news;
    }

    /**
     * Takes in what another instance of the region knows.
     *
     * @param news its marks and clearances
     * @param nowMs current time, epoch milliseconds
     */
    public void merge(Suspicions news, long nowMs) {
        known.updateAndGet(now -> next(now, news, nowMs - keepMs));
    }

    /**
     * Returns all that may be told to instances of a region.
     *
     * @param region the region
     * @return marks of unbound content and of content bound to that region
     */
    public Suspicions toldTo(Region region) {
        Known now = known.get();
        List<Mark> marks = now.marks().values().stream()
                .filter(mark -> mark.home().map(region::equals).orElse(true))
                .toList();
        List<Clearance> clearances = new ArrayList<>();
        now.clearedAtMs().forEach((request, atMs) -> clearances.add(new Clearance(request, atMs)));
        return new Suspicions(marks, clearances);
    }

    private Known next(Known now, Suspicions news, long sinceMs) {
        Map<Fingerprint, Long> cleared = new HashMap<>(now.clearedAtMs());
        news.clearances().forEach(one -> cleared.merge(one.request(), one.atMs(), Math::max));
        cleared.values().removeIf(atMs -> atMs <= sinceMs);
        Map<Key, Mark> marks = new HashMap<>(now.marks());
        news.marks().forEach(mark -> marks.merge(new Key(mark.request(), mark.crash()), mark, Quarantine::join));
        marks.values()
                .removeIf(mark -> mark.atMs() <= sinceMs || mark.atMs() <= cleared.getOrDefault(mark.request(), 0L));
        dropOldest(marks);
        return new Known(Map.copyOf(marks), Map.copyOf(cleared), Map.copyOf(Judgement.of(marks.values(), maxCrashes)));
    }

    private static Mark join(Mark x, Mark y) {
        Mark first = x.atMs() <= y.atMs() ? x : y;
        boolean suspect = x.suspect() || y.suspect();
        Optional<Region> home = x.home().or(y::home);
        return new Mark(first.request(), first.crash(), suspect, first.atMs(), home);
    }

    private void dropOldest(Map<Key, Mark> marks) {
        if (marks.size() <= maxMarks) {
            return;
        }
        List<Mark> oldestFirst = new ArrayList<>(marks.values());
        oldestFirst.sort(Comparator.comparingLong(Mark::atMs));
        for (Mark mark : oldestFirst.subList(0, marks.size() - maxMarks)) {
            marks.remove(new Key(mark.request(), mark.crash()));
        }
    }

    private record Key(Fingerprint request, Crash crash) {}

    private record Known(
            Map<Key, Mark> marks, Map<Fingerprint, Long> clearedAtMs, Map<Fingerprint, Judgement> judgements) {}
}
