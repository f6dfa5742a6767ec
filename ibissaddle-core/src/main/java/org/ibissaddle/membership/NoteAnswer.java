package org.ibissaddle.membership;

import java.util.List;

/**
 * Answer to a {@link NoteRequest}: the changes since the requester's release note if they are known, otherwise one part
 * of the full text.
 *
 * @param number number of the release note, 0 for none
 * @param changes texts of the release notes from the requester's note to this one, empty when a part of the full text
 *     is sent
 * @param parts number of parts of the full text
 * @param text the requested part
 */
public record NoteAnswer(long number, List<String> changes, int parts, String text) {
    /** Makes a defensive copy of the changes; an absent list becomes empty. */
    public NoteAnswer {
        changes = changes == null ? List.of() : List.copyOf(changes);
    }
}
