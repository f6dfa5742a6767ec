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
public record Timeline(List<TimelineEntry> entries, List<Gap> gaps) {
    private static final Comparator<TimelineEntry> CAUSAL_ORDER = Comparator.comparing(TimelineEntry::at)
            .thenComparing(entry -> entry.origin().instance())
            .thenComparing(entry -> entry.origin().incarnation())
            .thenComparingLong(TimelineEntry::seq);

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
    public static Timeline merge(List<EventRingBuffer.Snapshot> rings, List<Gap.Unanswered> unanswered) {
        List<TimelineEntry> entries = new ArrayList<>();
        List<Gap> gaps = new ArrayList<>(unanswered);
        rings.forEach(ring -> entries.addAll(ring.entries()));
        entries.sort(CAUSAL_ORDER);
        rings.forEach(ring -> findOverwritten(ring).ifPresent(gaps::add));
        gaps.addAll(findRestarts(entries));
        findUnheard(rings, entries).forEach(instance -> gaps.add(new Gap.Unheard(instance)));
        return new Timeline(entries, gaps);
    }

    private static Optional<Gap> findOverwritten(EventRingBuffer.Snapshot ring) {
        if (ring.entries().isEmpty()) {
            return Optional.empty();
        }
        TimelineEntry oldest = ring.entries().get(0);
        return oldest.seq() == 0
                ? Optional.empty()
                : Optional.of(new Gap.Overwritten(ring.origin(), oldest.seq(), oldest.at()));
    }

    private static List<Gap> findRestarts(List<TimelineEntry> entries) {
        Set<String> mentioned = new HashSet<>();
        List<Gap> gaps = new ArrayList<>();
        for (TimelineEntry entry : entries) {
            forwardTarget(entry.event()).ifPresent(instance -> mentioned.add(instance.name()));
            if (entry.event() instanceof Event.HealthChanged changed) {
                mentioned.add(changed.member());
            }
            EventSource origin = entry.origin();
            boolean mentionedBefore = mentioned.contains(origin.instance().name());
            if (entry.event() instanceof Event.Started && mentionedBefore) {
                gaps.add(new Gap.EarlierLife(origin, entry.at()));
            }
        }
        return gaps;
    }

    private static Set<InstanceId> findUnheard(List<EventRingBuffer.Snapshot> rings, List<TimelineEntry> entries) {
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
    public List<TimelineEntry> eventsOf(RequestId request) {
        return entries.stream()
                .filter(entry -> entry.request().filter(request::equals).isPresent())
                .toList();
    }
}
