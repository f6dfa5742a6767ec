package org.ibissaddle.membership;

import java.util.List;
import java.util.Optional;

/**
 * Answer to a {@link ListRequest}: the fleet list, in full or as changes since the requested revision.
 *
 * @param revision revision of the fleet list
 * @param whole whether the entries are the full list
 * @param entries changed entries, or all entries
 * @param removed names of the entries that were removed
 * @param beliefs membership view of the answering instance, if requested
 */
public record ListAnswer(
        long revision,
        boolean whole,
        List<ListEntry> entries,
        List<String> removed,
        Optional<MembershipSnapshot> beliefs) {
    /** Makes defensive copies; absent lists become empty. */
    public ListAnswer {
        entries = entries == null ? List.of() : List.copyOf(entries);
        removed = removed == null ? List.of() : List.copyOf(removed);
        beliefs = beliefs == null ? Optional.empty() : beliefs;
    }
}
