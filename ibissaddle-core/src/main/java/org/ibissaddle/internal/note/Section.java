package org.ibissaddle.internal.note;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A section in the text of a note.
 *
 * @param title text between the brackets, with words separated by single spaces
 * @param values values by key, in text order
 */
public record Section(String title, Map<String, String> values) {
    /** Makes a defensive copy of the values in the same order. */
    public Section {
        values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
    }

    /**
     * Returns the section kind: the first word of the title.
     *
     * @return the section kind, such as {@code pool}
     */
    public String kind() {
        int space = title.indexOf(' ');
        return space < 0 ? title : title.substring(0, space);
    }

    /**
     * Returns the name of the declared object: the title without its first word.
     *
     * @return the name, or an empty string if the title has only one word
     */
    public String name() {
        int space = title.indexOf(' ');
        return space < 0 ? "" : title.substring(space + 1);
    }
}
