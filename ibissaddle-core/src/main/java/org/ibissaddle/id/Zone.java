package org.ibissaddle.id;

/**
 * Identifies an availability zone within a region.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record Zone(String name) implements Comparable<Zone> {
    /** Validates the name. */
    public Zone {
        Names.requireValid("availability zone", name);
    }

    @Override
    public int compareTo(Zone other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
