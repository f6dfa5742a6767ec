package org.ibissaddle.membership;

import java.util.List;

/**
 * List of instances and backend servers published by the platform. It lags behind the actual state.
 *
 * @param revision revision of the list; a replica of the platform may return an older one
 * @param entries instances and backend servers
 */
public record FleetList(long revision, List<ListEntry> entries) {
    /** Makes a defensive copy of the entries. */
    public FleetList {
        entries = List.copyOf(entries);
    }
}
