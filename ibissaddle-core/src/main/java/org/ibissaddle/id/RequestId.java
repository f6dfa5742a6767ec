package org.ibissaddle.id;

/**
 * Unique identifier of a client request.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record RequestId(String name) implements Comparable<RequestId> {
    /** Validates the name. */
    public RequestId {
        Names.requireValid("request", name);
    }

    @Override
    public int compareTo(RequestId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
