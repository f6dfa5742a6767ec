package org.ibissaddle.id;

/** Thrown when an identifier is created from malformed text. */
public final class InvalidIdentifierException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidIdentifierException(String kind, String name) {
        super(
                kind + " name \"" + name
                        + "\" is not valid: use 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit");
    }
}
