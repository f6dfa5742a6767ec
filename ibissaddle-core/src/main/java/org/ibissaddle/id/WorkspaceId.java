package org.ibissaddle.id;

/**
 * Identifies a workspace. Region binding and limits apply per workspace.
 *
 * @param name 1 to 128 letters, digits, dots, underscores, colons or hyphens, starting with a letter or digit
 */
public record WorkspaceId(String name) implements Comparable<WorkspaceId> {
    /** Validates the name. */
    public WorkspaceId {
        Names.requireValid("workspace", name);
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
