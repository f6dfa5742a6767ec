package org.ibissaddle.note;

import java.util.List;
import java.util.Locale;

/**
 * One difference between two notes.
 *
 * @param kind what happens
 * @param subject what it happens to, as in the text of the note
 * @param details changed keys with old and new values
 * @param effect what becomes of running work
 */
public record NoteChange(Kind kind, String subject, List<String> details, String effect) {
    /** Copies the details. */
    public NoteChange {
        details = List.copyOf(details);
    }

    /**
     * Describes the change for operators.
     *
     * @return one line
     */
    public String message() {
        String what = kind.name().toLowerCase(Locale.ROOT) + " " + subject;
        String changed = details.isEmpty() ? "" : ": " + String.join(", ", details);
        return what + changed + " (" + effect + ")";
    }

    /** Kinds of differences. */
    public enum Kind {
        /** Only the newer note declares it. */
        ADDED,
        /** Both notes declare it, differently. */
        CHANGED,
        /** Only the older note declares it. */
        WITHDRAWN
    }
}
