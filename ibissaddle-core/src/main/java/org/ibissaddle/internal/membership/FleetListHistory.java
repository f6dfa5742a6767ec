package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.MembershipSnapshot;

/**
 * Records at which revision each entry of the fleet list last changed, so that a peer with a slightly older list is
 * sent only the differences.
 */
public final class FleetListHistory {
    private static final int MAX_REMOVED = 1_000;

    private final Map<String, Long> changedAtRevision = new HashMap<>();
    private final Map<String, Long> removedAtRevision = new LinkedHashMap<>();
    private Map<String, ListEntry> entries = new LinkedHashMap<>();
    private FleetList newest = new FleetList(0, List.of());
    private long oldestRevision;

    /** Creates an empty history. */
    public FleetListHistory() {}

    /**
     * Records a new list.
     *
     * @param list the list
     */
    public void add(FleetList list) {
        Map<String, ListEntry> next = new LinkedHashMap<>();
        for (ListEntry entry : list.entries()) {
            next.put(entry.name(), entry);
            if (!entry.equals(entries.get(entry.name()))) {
                changedAtRevision.put(entry.name(), list.revision());
            }
            removedAtRevision.remove(entry.name());
        }
        for (String name : entries.keySet()) {
            if (!next.containsKey(name)) {
                changedAtRevision.remove(name);
                removedAtRevision.put(name, list.revision());
            }
        }
        boolean reset = list.revision() < newest.revision() || newest.revision() == 0;
        if (reset || removedAtRevision.size() > MAX_REMOVED) {
            removedAtRevision.clear();
            oldestRevision = list.revision();
        }
        entries = next;
        newest = list;
    }

    /**
     * Creates the answer for a peer that holds the given revision.
     *
     * @param revision revision of the peer's list
     * @param snapshot snapshot to include in the answer, if requested
     * @return the changes since that revision, or the whole list if they are not known
     */
    public ListAnswer since(long revision, Optional<MembershipSnapshot> snapshot) {
        if (revision > newest.revision()) {
            return new ListAnswer(newest.revision(), false, List.of(), List.of(), snapshot);
        }
        if (revision < oldestRevision || revision == 0) {
            return new ListAnswer(newest.revision(), true, newest.entries(), List.of(), snapshot);
        }
        List<ListEntry> changed = new ArrayList<>();
        for (ListEntry entry : newest.entries()) {
            if (changedAtRevision.getOrDefault(entry.name(), 0L) > revision) {
                changed.add(entry);
            }
        }
        List<String> removed = new ArrayList<>();
        removedAtRevision.forEach((name, removedRevision) -> {
            if (removedRevision > revision) {
                removed.add(name);
            }
        });
        return new ListAnswer(newest.revision(), false, changed, removed, snapshot);
    }

    /**
     * Applies a peer's answer to a list.
     *
     * @param list the local list
     * @param answer the answer to a request that named the revision of that list
     * @return the peer's list
     */
    public static FleetList join(FleetList list, ListAnswer answer) {
        if (answer.whole()) {
            return new FleetList(answer.revision(), answer.entries());
        }
        Map<String, ListEntry> entries = new LinkedHashMap<>();
        list.entries().forEach(entry -> entries.put(entry.name(), entry));
        answer.removed().forEach(entries::remove);
        answer.entries().forEach(entry -> entries.put(entry.name(), entry));
        return new FleetList(answer.revision(), List.copyOf(entries.values()));
    }
}
