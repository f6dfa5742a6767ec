package org.ibissaddle.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.RequestId;

/**
 * Events of multiple processes, merged in causal order.
 *
 * @param entries the events; causes precede their effects
 * @param gaps known gaps in the events
 */
public record Timeline(List<Entry> entries, List<Gap> gaps) {
    private static final Comparator<Entry> CAUSAL_ORDER = Comparator.comparing(Entry::at)
            .thenComparing(entry -> entry.origin().instance())
            .thenComparing(entry -> entry.origin().incarnation())
            .thenComparingLong(Entry::seq);

    /** Copies the lists. */
    public Timeline {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }

    /**
     * Merges the events of several processes.
     *
     * @param rings ring buffer snapshots of the processes
     * @param unanswered processes that returned no snapshot
     * @return the timeline
     */
    public static Timeline merge(List<EventRing.Snapshot> rings, List<Gap.Unanswered> unanswered) {
        List<Entry> entries = new ArrayList<>();
        List<Gap> gaps = new ArrayList<>(unanswered);
        rings.forEach(ring -> entries.addAll(ring.entries()));
        entries.sort(CAUSAL_ORDER);
        rings.forEach(ring -> findOverwritten(ring).ifPresent(gaps::add));
        gaps.addAll(findRestarts(entries));
        findUnheard(rings, entries).forEach(instance -> gaps.add(new Gap.Unheard(instance)));
        return new Timeline(entries, gaps);
    }

    private static Optional<Gap> findOverwritten(EventRing.Snapshot ring) {
        if (ring.entries().isEmpty()) {
            return Optional.empty();
        }
        Entry oldest = ring.entries().get(0);
        return oldest.seq() == 0
                ? Optional.empty()
                : Optional.of(new Gap.Overwritten(ring.origin(), oldest.seq(), oldest.at()));
    }

    private static List<Gap> findRestarts(List<Entry> entries) {
        Set<String> mentioned = new HashSet<>();
        List<Gap> gaps = new ArrayList<>();
        for (Entry entry : entries) {
            forwardTarget(entry.event()).ifPresent(instance -> mentioned.add(instance.name()));
            if (entry.event() instanceof Event.HealthChanged changed) {
                mentioned.add(changed.member());
            }
            Origin origin = entry.origin();
            boolean mentionedBefore = mentioned.contains(origin.instance().name());
            if (entry.event() instanceof Event.Started && mentionedBefore) {
                gaps.add(new Gap.EarlierLife(origin, entry.at()));
            }
        }
        return gaps;
    }

    private static Set<InstanceId> findUnheard(List<EventRing.Snapshot> rings, List<Entry> entries) {
        Set<InstanceId> missing = new TreeSet<>();
        entries.forEach(entry -> forwardTarget(entry.event()).ifPresent(missing::add));
        rings.forEach(ring -> missing.remove(ring.origin().instance()));
        return missing;
    }

    private static Optional<InstanceId> forwardTarget(Event event) {
        return event instanceof Event.Forwarded forwarded ? Optional.of(forwarded.to()) : Optional.empty();
    }

    /**
     * Returns the events of one request across all processes.
     *
     * @param request the request
     * @return its events in causal order
     */
    public List<Entry> way(RequestId request) {
        return entries.stream()
                .filter(entry -> entry.request().filter(request::equals).isPresent())
                .toList();
    }
}
