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
 * @param apiKeyHashes hashes of further keys that identify its callers, see {@link ApiKeyHash}; from other instances,
 *     which do not pass on the keys
 */
public record WorkspaceSpec(
        WorkspaceId id,
        Set<String> apiKeys,
        OptionalInt priority,
        Set<Region> homeRegions,
        Quota quota,
        Set<String> apiKeyHashes) {
    /** Makes defensive copies of the collections. */
    public WorkspaceSpec {
        apiKeys = Set.copyOf(apiKeys);
        homeRegions = Set.copyOf(homeRegions);
        apiKeyHashes = Set.copyOf(apiKeyHashes);
    }

    /**
     * Creates the configuration of a workspace whose keys are all known.
     *
     * @param id the workspace
     * @param apiKeys keys that identify its callers
     * @param priority priority of its requests, empty to use the route's
     * @param homeRegions regions that may serve its requests; empty for all
     * @param quota limit of its requests
     */
    public WorkspaceSpec(
            WorkspaceId id, Set<String> apiKeys, OptionalInt priority, Set<Region> homeRegions, Quota quota) {
        this(id, apiKeys, priority, homeRegions, quota, Set.of());
    }

    /** Omits the keys, which are secret. */
    @Override
    public String toString() {
        return "WorkspaceSpec[id=" + id + ", apiKeys=" + apiKeys.size() + ", priority=" + priority + ", homeRegions="
                + homeRegions + ", quota=" + quota + "]";
    }
}
