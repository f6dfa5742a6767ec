package org.ibissaddle.id;

import java.util.regex.Pattern;

/** Validates the names used by identifiers. */
final class Names {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private Names() {}

    /**
     * Throws {@link InvalidIdentifierException} unless the name is well-formed.
     *
     * @param kind kind of identifier, for the error message
     * @param name the name to validate
     */
    static void requireValid(String kind, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            throw new InvalidIdentifierException(kind, name);
        }
    }
}
