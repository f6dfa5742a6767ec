package org.ibissaddle.note;

import java.util.List;
import java.util.Locale;

/**
 * One difference between two release notes.
 *
 * @param kind the kind of difference
 * @param subject title of the affected section
 * @param details changed keys with their old and new values
 * @param effect the effect on running requests
 */
public record NoteChange(Kind kind, String subject, List<String> details, String effect) {
    /** Makes a defensive copy of the details. */
    public NoteChange {
        details = List.copyOf(details);
    }

    /**
     * Describes the change in one line for operators.
     *
     * @return the description
     */
    public String message() {
        String summary = kind.name().toLowerCase(Locale.ROOT) + " " + subject;
        String changed = details.isEmpty() ? "" : ": " + String.join(", ", details);
        return summary + changed + " (" + effect + ")";
    }

    /** The kind of difference. */
    public enum Kind {
        /** The section is declared only in the newer note. */
        ADDED,
        /** The section is declared in both notes with different values. */
        CHANGED,
        /** The section is declared only in the older note. */
        WITHDRAWN
    }
}
