package org.ibissaddle.admission;

import java.util.Map;
import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Refusal;

/**
 * Rate limits per workspace that hold across all instances without shared state. Each instance uses a share of the
 * limit in proportion to its part of the demand. The last known share of an unreachable peer stays reserved for that
 * peer.
 */
public interface WorkspaceRateLimiter {
    /**
     * Tries to count one request against a workspace's rate limit.
     *
     * @param workspace the workspace
     * @param nowMs current time, epoch milliseconds
     * @return a refusal with the time of the earliest retry, empty if the request is within the limit
     */
    Optional<Refusal> tryAcquire(Workspace workspace, long nowMs);

    /**
     * Returns the workspaces with the highest demand at this instance, for reporting to its peers.
     *
     * @param maxEntries maximum number of workspaces
     * @param nowMs current time, epoch milliseconds
     * @return requests per second by workspace
     */
    Map<WorkspaceId, Double> demand(int maxEntries, long nowMs);

    /**
     * Records the demand that a peer reported.
     *
     * @param peer the peer
     * @param demand requests per second by workspace; absent workspaces count as zero
     * @param nowMs current time, epoch milliseconds
     */
    void recordPeerDemand(InstanceId peer, Map<WorkspaceId, Double> demand, long nowMs);

    /**
     * Replaces the set of peers among which limits are divided.
     *
     * @param peers all other instances that are not known to have left, reachable or not, with their regions; the limit
     *     of a workspace bound to a region is divided among the instances of that region only
     */
    void setPeers(Map<InstanceId, Region> peers);

    /**
     * Returns the fraction of a workspace's limit that this instance may use.
     *
     * @param workspace the workspace
     * @param nowMs current time, epoch milliseconds
     * @return the share, 0 to 1
     */
    double share(Workspace workspace, long nowMs);

    /**
     * Removes the state of idle workspaces.
     *
     * @param nowMs current time, epoch milliseconds
     * @return number of workspaces that still have state
     */
    int expire(long nowMs);
}
