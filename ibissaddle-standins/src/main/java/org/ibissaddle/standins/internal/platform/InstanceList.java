package org.ibissaddle.standins.internal.platform;

import java.util.List;
import java.util.TreeMap;
import org.ibissaddle.standins.InstanceEntry;

/**
 * The list of instances and backend servers.
 *
 * @param revision the revision of the last change
 * @param entries the entries, sorted by name
 */
public record InstanceList(long revision, List<InstanceEntry> entries) {

    /** Creates a list from entries keyed by name. */
    public static InstanceList of(long revision, TreeMap<String, InstanceEntry> entries) {
        return new InstanceList(revision, List.copyOf(entries.values()));
    }

    /** Returns only the live gateway instances, which callers may use. */
    public InstanceList directory() {
        return new InstanceList(
                revision, entries.stream().filter(InstanceEntry::isLiveInstance).toList());
    }
}
