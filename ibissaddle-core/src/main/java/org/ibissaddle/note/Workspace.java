package org.ibissaddle.note;

import java.util.Optional;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;

/**
 * A workspace with its binding and limits.
 *
 * @param id name of the workspace
 * @param home region that its requests and data are bound to; empty when unbound
 * @param requestsPerSecond limit over all instances, requests per second
 * @param weight share of capacity relative to other workspaces
 * @param priority default priority, 0 lowest to 9 highest
 */
public record Workspace(WorkspaceId id, Optional<Region> home, double requestsPerSecond, double weight, int priority) {
    /** Highest priority. */
    public static final int MAX_PRIORITY = 9;

    /**
     * Tells whether a request of this workspace may be served or stored in a region.
     *
     * @param region the region in question
     * @return whether the binding allows it
     */
    public boolean allows(Region region) {
        return home.isEmpty() || home.get().equals(region);
    }
}
