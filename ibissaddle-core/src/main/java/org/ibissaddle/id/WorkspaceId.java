package org.ibissaddle.id;

/**
 * Name of a workspace, the unit of binding and of limits.
 *
 * @param name the name: 1 to 128 letters, digits, dots, underscores, colons or hyphens
 */
public record WorkspaceId(String name) implements Comparable<WorkspaceId> {
    /** Checks the name. */
    public WorkspaceId {
        Names.require("workspace", name);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
