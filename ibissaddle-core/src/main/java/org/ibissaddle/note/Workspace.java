package org.ibissaddle.note;

import java.util.Optional;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;

/**
 * A workspace with its home region and limits.
 *
 * @param id name of the workspace
 * @param homeRegion region that its requests and data must stay in; empty if they may be in any region
 * @param requestsPerSecond rate limit across all instances, in requests per second
 * @param weight weight of its share of capacity relative to other workspaces
 * @param priority default priority, from 0 (lowest) to 9 (highest)
 */
public record Workspace(
        WorkspaceId id, Optional<Region> homeRegion, double requestsPerSecond, double weight, int priority) {
    /** Highest priority. */
    public static final int MAX_PRIORITY = 9;

    /**
     * Checks whether requests of this workspace may be served or stored in a region.
     *
     * @param region the region to check
     * @return true if the workspace has no home region or this is its home region
     */
    public boolean allows(Region region) {
        return homeRegion.isEmpty() || homeRegion.get().equals(region);
    }
}
