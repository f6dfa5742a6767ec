package org.ibissaddle.id;

/**
 * Name of an entry instance, stable over restarts.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record InstanceId(String name) implements Comparable<InstanceId> {
    /** Checks the name. */
    public InstanceId {
        Names.require("instance", name);
    }

    @Override
    public int compareTo(InstanceId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
