package org.ibissaddle.id;

/**
 * Identifies an instance. The name stays the same across restarts.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record InstanceId(String name) implements Comparable<InstanceId> {
    /** Validates the name. */
    public InstanceId {
        Names.requireValid("instance", name);
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
