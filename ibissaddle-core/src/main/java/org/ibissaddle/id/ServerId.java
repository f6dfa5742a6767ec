package org.ibissaddle.id;

/**
 * Name of a backend server.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record ServerId(String name) implements Comparable<ServerId> {
    /** Checks the name. */
    public ServerId {
        Names.require("backend server", name);
    }

    @Override
    public int compareTo(ServerId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
