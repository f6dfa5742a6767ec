package org.ibissaddle.admission;

import java.util.Map;
import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Refusal;

/**
 * Limits of workspaces over all instances without shared state: each instance keeps to a share that follows its part of
 * the demand, and to its last share towards instances that it has lost.
 */
public interface WorkspaceLimits {
    /**
     * Takes one request from a workspace's limit.
     *
     * @param workspace the workspace
     * @param nowMs current time, epoch milliseconds
     * @return a refusal with the time for the next try, empty when the request may go on
     */
    Optional<Refusal> tryAcquire(Workspace workspace, long nowMs);

    /**
     * Lists the greatest demands at this instance, to be told to its peers.
     *
     * @param most how many at most
     * @param nowMs current time, epoch milliseconds
     * @return requests per second by workspace
     */
    Map<WorkspaceId, Double> demand(int most, long nowMs);

    /**
     * Takes in what a peer told of its demands.
     *
     * @param peer the peer
     * @param demand its demands; workspaces left out count as none
     * @param nowMs current time, epoch milliseconds
     */
    void peerDemand(InstanceId peer, Map<WorkspaceId, Double> demand, long nowMs);

    /**
     * Replaces the set of peers among which limits are split.
     *
     * @param peers all other instances that are not known to have left, reachable or not, with their regions; a bound
     *     workspace's limit is split among those of its home only
     */
    void peers(Map<InstanceId, Region> peers);

    /**
     * Returns the part of a workspace's limit that this instance may use.
     *
     * @param workspace the workspace
     * @param nowMs current time, epoch milliseconds
     * @return the share, 0 to 1
     */
    double share(Workspace workspace, long nowMs);

    /**
     * Forgets workspaces that are idle.
     *
     * @param nowMs current time, epoch milliseconds
     * @return workspaces that are still remembered
     */
    int expire(long nowMs);
}
