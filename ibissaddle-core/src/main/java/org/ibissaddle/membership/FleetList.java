package org.ibissaddle.membership;

import java.util.List;

/**
 * The platform's list, which lags behind the truth.
 *
 * @param revision revision of the list; a replica of the platform may show an older one
 * @param entries instances and backend servers
 */
public record FleetList(long revision, List<ListEntry> entries) {
    /** Copies the entries. */
    public FleetList {
        entries = List.copyOf(entries);
    }
}
