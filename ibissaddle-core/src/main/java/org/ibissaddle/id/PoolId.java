package org.ibissaddle.id;

/**
 * Name of a pool of backend servers that do the same work.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record PoolId(String name) implements Comparable<PoolId> {
    /** Checks the name. */
    public PoolId {
        Names.require("pool", name);
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
