package org.ibissaddle.id;

/**
 * Identifies a pool of interchangeable backend servers.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record PoolId(String name) implements Comparable<PoolId> {
    /** Validates the name. */
    public PoolId {
        Names.requireValid("pool", name);
    }

    @Override
    public int compareTo(PoolId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
