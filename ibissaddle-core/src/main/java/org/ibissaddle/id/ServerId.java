package org.ibissaddle.id;

/**
 * Identifies a backend server.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record ServerId(String name) implements Comparable<ServerId> {
    /** Validates the name. */
    public ServerId {
        Names.requireValid("backend server", name);
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
