package org.ibissaddle.internal.note;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A section of a note's text.
 *
 * @param title text between the brackets, words separated by single spaces
 * @param values keys and values in their order
 */
public record Section(String title, Map<String, String> values) {
    /** Copies the values. */
    public Section {
        values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
    }

    /**
     * Returns the first word of the title.
     *
     * @return kind of what the section declares
     */
    public String kind() {
        int space = title.indexOf(' ');
        return space < 0 ? title : title.substring(0, space);
    }

    /**
     * Returns the title without its first word.
     *
     * @return name of what the section declares, possibly empty
     */
    public String name() {
        int space = title.indexOf(' ');
        return space < 0 ? "" : title.substring(space + 1);
    }
}
