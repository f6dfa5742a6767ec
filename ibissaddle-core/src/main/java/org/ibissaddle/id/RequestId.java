package org.ibissaddle.id;

/**
 * Unique name of one request of a caller.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record RequestId(String name) implements Comparable<RequestId> {
    /** Checks the name. */
    public RequestId {
        Names.require("request", name);
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
