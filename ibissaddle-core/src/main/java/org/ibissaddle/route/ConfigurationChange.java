package org.ibissaddle.route;

import java.util.List;
import java.util.Locale;

/**
 * One difference between two configurations.
 *
 * @param kind the kind of difference
 * @param subject the entry, for example {@code route "r-x"}
 * @param details changed fields with their old and new values; keys are named by their position
 * @param effect what happens to requests
 */
public record ConfigurationChange(Kind kind, String subject, List<String> details, String effect) {
    /** Makes a defensive copy of the details. */
    public ConfigurationChange {
        details = List.copyOf(details);
    }

    /** The kind of difference. */
    public enum Kind {
        /** Only the newer configuration has the entry. */
        ADDED,
        /** Only the older configuration has the entry. */
        REMOVED,
        /** The entry differs. */
        CHANGED
    }

    /**
     * Describes the change in one line for operators.
     *
     * @return the description
     */
    public String line() {
        String changed = details.isEmpty() ? "" : ": " + String.join(", ", details);
        return kind.name().toLowerCase(Locale.ROOT) + " " + subject + changed + " (" + effect + ")";
    }
}
