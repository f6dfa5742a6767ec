package org.ibissaddle.id;

/**
 * Name of an adapter that specialises a model.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record AdapterId(String name) implements Comparable<AdapterId> {
    /** Checks the name. */
    public AdapterId {
        Names.require("adapter", name);
    }

    @Override
    public int compareTo(AdapterId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
