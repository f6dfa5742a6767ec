package org.ibissaddle.id;

import java.util.regex.Pattern;

/** Checks of the names that identifiers are made from. */
final class Names {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private Names() {}

    /**
     * Requires a well-formed name.
     *
     * @param kind what is named, for the message
     * @param name the name to check
     */
    static void require(String kind, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            throw new InvalidNameException(kind, name);
        }
    }
}
