package org.ibissaddle.membership;

import java.util.List;

/**
 * A note for a peer: the changes since the asker's one when they are known, else one part of the whole text.
 *
 * @param number number of the note, 0 for none
 * @param changes texts of notes that lead from the asker's note to this one, empty when parts are sent
 * @param parts number of parts of the whole text
 * @param text the part that was asked for
 */
public record NoteAnswer(long number, List<String> changes, int parts, String text) {
    /** Copies the changes. */
    public NoteAnswer {
        changes = changes == null ? List.of() : List.copyOf(changes);
    }
}
