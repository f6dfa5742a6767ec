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
import org.ibissaddle.membership.Snapshot;

/** Remembers when each entry of the list last changed, so that a peer that is a little behind gets few entries. */
public final class ListJournal {
    private static final int MAX_REMOVED = 1_000;

    private final Map<String, Long> changedAt = new HashMap<>();
    private final Map<String, Long> removedAt = new LinkedHashMap<>();
    private Map<String, ListEntry> entries = new LinkedHashMap<>();
    private FleetList newest = new FleetList(0, List.of());
    private long startRevision;

    /** Creates a journal without a list. */
    public ListJournal() {}

    /**
     * Takes in a newer list.
     *
     * @param list the list
     */
    public void add(FleetList list) {
        Map<String, ListEntry> next = new LinkedHashMap<>();
        for (ListEntry entry : list.entries()) {
            next.put(entry.name(), entry);
            if (!entry.equals(entries.get(entry.name()))) {
                changedAt.put(entry.name(), list.revision());
            }
            removedAt.remove(entry.name());
        }
        for (String name : entries.keySet()) {
            if (!next.containsKey(name)) {
                changedAt.remove(name);
                removedAt.put(name, list.revision());
            }
        }
        boolean restart = list.revision() < newest.revision() || newest.revision() == 0;
        if (restart || removedAt.size() > MAX_REMOVED) {
            removedAt.clear();
            startRevision = list.revision();
        }
        entries = next;
        newest = list;
    }

    /**
     * Answers a peer.
     *
     * @param revision revision of the peer's list
     * @param beliefs beliefs to send along
     * @return what changed since, or the whole list
     */
    public ListAnswer since(long revision, Optional<Snapshot> beliefs) {
        if (revision > newest.revision()) {
            return new ListAnswer(newest.revision(), false, List.of(), List.of(), beliefs);
        }
        if (revision < startRevision || revision == 0) {
            return new ListAnswer(newest.revision(), true, newest.entries(), List.of(), beliefs);
        }
        List<ListEntry> changed = new ArrayList<>();
        for (ListEntry entry : newest.entries()) {
            if (changedAt.getOrDefault(entry.name(), 0L) > revision) {
                changed.add(entry);
            }
        }
        List<String> removed = new ArrayList<>();
        removedAt.forEach((name, at) -> {
            if (at > revision) {
                removed.add(name);
            }
        });
        return new ListAnswer(newest.revision(), false, changed, removed, beliefs);
    }

    /**
     * Joins an answer of a peer with a list.
     *
     * @param list the list held
     * @param answer the answer to a request with its revision
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
