package org.ibissaddle.id;

/**
 * A region that may be the home of workspaces.
 *
 * @param name unique name of the region, as in the release note
 */
public record Region(String name) implements Comparable<Region> {
    /** Checks the name. */
    public Region {
        Names.require("region", name);
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
