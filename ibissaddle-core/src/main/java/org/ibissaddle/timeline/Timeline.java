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
 * Events of many processes in one causal order.
 *
 * @param entries events; a cause stands before its effects
 * @param gaps what is missing
 */
public record Timeline(List<Entry> entries, List<Gap> gaps) {
    private static final Comparator<Entry> ORDER = Comparator.comparing(Entry::at)
            .thenComparing(entry -> entry.origin().instance())
            .thenComparing(entry -> entry.origin().incarnation())
            .thenComparingLong(Entry::seq);

    /** Copies the lists. */
    public Timeline {
        entries = List.copyOf(entries);
        gaps = List.copyOf(gaps);
    }

    /**
     * Merges rings.
     *
     * @param rings what the processes gave
     * @param unanswered those that gave nothing
     * @return the time line
     */
    public static Timeline merge(List<EventRing.Snapshot> rings, List<Gap.Unanswered> unanswered) {
        List<Entry> entries = new ArrayList<>();
        List<Gap> gaps = new ArrayList<>(unanswered);
        rings.forEach(ring -> entries.addAll(ring.entries()));
        entries.sort(ORDER);
        rings.forEach(ring -> overwritten(ring).ifPresent(gaps::add));
        gaps.addAll(earlierLives(entries));
        unheard(rings, entries).forEach(instance -> gaps.add(new Gap.Unheard(instance)));
        return new Timeline(entries, gaps);
    }

    private static Optional<Gap> overwritten(EventRing.Snapshot ring) {
        if (ring.entries().isEmpty()) {
            return Optional.empty();
        }
        Entry oldest = ring.entries().get(0);
        return oldest.seq() == 0
                ? Optional.empty()
                : Optional.of(new Gap.Overwritten(ring.origin(), oldest.seq(), oldest.at()));
    }

    private static List<Gap> earlierLives(List<Entry> entries) {
        Set<String> named = new HashSet<>();
        List<Gap> gaps = new ArrayList<>();
        for (Entry entry : entries) {
            names(entry.event()).ifPresent(instance -> named.add(instance.name()));
            if (entry.event() instanceof Event.HealthChanged changed) {
                named.add(changed.member());
            }
            Origin origin = entry.origin();
            boolean namedBefore = named.contains(origin.instance().name());
            if (entry.event() instanceof Event.Started && namedBefore) {
                gaps.add(new Gap.EarlierLife(origin, entry.at()));
            }
        }
        return gaps;
    }

    private static Set<InstanceId> unheard(List<EventRing.Snapshot> rings, List<Entry> entries) {
        Set<InstanceId> missing = new TreeSet<>();
        entries.forEach(entry -> names(entry.event()).ifPresent(missing::add));
        rings.forEach(ring -> missing.remove(ring.origin().instance()));
        return missing;
    }

    private static Optional<InstanceId> names(Event event) {
        return event instanceof Event.Forwarded forwarded ? Optional.of(forwarded.to()) : Optional.empty();
    }

    /**
     * Returns the events of one request over all processes.
     *
     * @param request the request
     * @return its events, causes first
     */
    public List<Entry> way(RequestId request) {
        return entries.stream()
                .filter(entry -> entry.request().filter(request::equals).isPresent())
                .toList();
    }
}
