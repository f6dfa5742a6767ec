package org.ibissaddle.route;

import java.util.OptionalInt;
import java.util.Set;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;

/**
 * Configuration of a workspace.
 *
 * @param id the workspace
 * @param apiKeys keys that identify its callers
 * @param priority priority of its requests in place of that of their routes, 0 is the highest; empty to use the route's
 * @param homeRegions regions that may serve its requests; empty for all
 * @param quota limit of its requests
 */
public record WorkspaceSpec(
        WorkspaceId id, Set<String> apiKeys, OptionalInt priority, Set<Region> homeRegions, Quota quota) {
    /** Makes defensive copies of the collections. */
    public WorkspaceSpec {
        apiKeys = Set.copyOf(apiKeys);
        homeRegions = Set.copyOf(homeRegions);
    }

    /** Omits the keys, which are secret. */
    @Override
    public String toString() {
        return "WorkspaceSpec[id=" + id + ", apiKeys=" + apiKeys.size() + ", priority=" + priority + ", homeRegions="
                + homeRegions + ", quota=" + quota + "]";
    }
}
