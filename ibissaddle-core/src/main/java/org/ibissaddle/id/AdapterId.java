package org.ibissaddle.id;

/**
 * Identifies an adapter: additional weights that specialize a model.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record AdapterId(String name) implements Comparable<AdapterId> {
    /** Validates the name. */
    public AdapterId {
        Names.requireValid("adapter", name);
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
