package org.ibissaddle.id;

/**
 * An availability zone of a region.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record Zone(String name) implements Comparable<Zone> {
    /** Checks the name. */
    public Zone {
        Names.require("availability zone", name);
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
