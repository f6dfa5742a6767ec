package org.ibissaddle.id;

/**
 * Identifies a region. A workspace may be bound to one as its home region.
 *
 * @param name unique name of the region, as declared in the release note
 */
public record Region(String name) implements Comparable<Region> {
    /** Validates the name. */
    public Region {
        Names.requireValid("region", name);
    }

    @Override
    public int compareTo(Region other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
