package org.ibissaddle.membership;

import java.util.List;
import java.util.Optional;

/**
 * The platform's list for a peer.
 *
 * @param revision revision of the list
 * @param whole whether the entries are the whole list
 * @param entries entries that changed, or all
 * @param removed names that are no longer listed
 * @param beliefs beliefs of the answering instance, when asked for
 */
public record ListAnswer(
        long revision, boolean whole, List<ListEntry> entries, List<String> removed, Optional<Snapshot> beliefs) {
    /** Copies the lists. */
    public ListAnswer {
        entries = entries == null ? List.of() : List.copyOf(entries);
        removed = removed == null ? List.of() : List.copyOf(removed);
        beliefs = beliefs == null ? Optional.empty() : beliefs;
    }
}
