package org.ibissaddle.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.internal.membership.DefaultMembership;

/**
 * Membership view of one instance: the instances and backend servers of the fleet and their states. A state machine
 * without clock or I/O, confined to one thread and driven by {@link ControlLoop}.
 *
 * <p>The view combines three sources: the platform's fleet list, which lags; direct observations of the instance; and
 * gossip messages of other instances. Within one incarnation, a draining mark takes precedence over the list. While
 * most contacts of the instance fail, it is probably isolated itself; direct failures then make a member or backend
 * server suspect at most.
 */
public interface Membership {
    /**
     * Creates an empty membership view.
     *
     * @param self the local instance
     * @param random source of randomness
     * @param nowMs current time, epoch milliseconds
     * @return the membership view
     */
    static Membership create(LocalInstance self, RandomGenerator random, long nowMs) {
        return new DefaultMembership(self, random, nowMs);
    }

    /**
     * Applies the platform's fleet list. An empty list is ignored. A list with a lower revision than the newest one is
     * ignored until some time after the last accepted list.
     *
     * @param list the list
     * @param nowMs current time, epoch milliseconds
     */
    void applyList(FleetList list, long nowMs);

    /**
     * Returns the newest accepted fleet list.
     *
     * @return the list, with revision 0 and no entries before the first
     */
    FleetList newestList();

    /**
     * Selects the next peer for an exchange of gossip messages.
     *
     * @param nowMs current time, epoch milliseconds
     * @return a peer, empty when none is known
     */
    Optional<Peer> nextPeer(long nowMs);

    /**
     * Creates a gossip message with the updates for a receiver.
     *
     * @param receiver the receiver, empty when only its address is known
     * @param note version of the local release note
     * @param list version of the local fleet list
     * @param readAgeMs age of the last successful read of the platform by the local availability zone, milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the message
     */
    Gossip createGossip(
            Optional<InstanceId> receiver,
            Gossip.DocumentVersion note,
            Gossip.DocumentVersion list,
            long readAgeMs,
            long nowMs);

    /**
     * Applies a gossip message, or the answer to one, received directly from its sender.
     *
     * @param gossip the message
     * @param nowMs current time, epoch milliseconds
     */
    void applyGossip(Gossip gossip, long nowMs);

    /**
     * Creates a snapshot of the membership view for an instance that may have missed updates.
     *
     * @param receiver region of that instance
     * @param nowMs current time, epoch milliseconds
     * @return the differences from the platform's fleet list, and the backend servers of the region if it is the local
     *     one
     */
    MembershipSnapshot snapshot(Region receiver, long nowMs);

    /**
     * Applies the membership view of another instance.
     *
     * @param snapshot the view
     * @param nowMs current time, epoch milliseconds
     */
    void applySnapshot(MembershipSnapshot snapshot, long nowMs);

    /**
     * Records whether a peer answered a message.
     *
     * @param peer the peer
     * @param answered whether it answered
     * @param nowMs current time, epoch milliseconds
     */
    void recordContact(Optional<InstanceId> peer, boolean answered, long nowMs);

    /**
     * Returns the backend servers that this instance should poll for their load now.
     *
     * @param nowMs current time, epoch milliseconds
     * @return the servers; a server is not returned again until its report or failure is recorded
     */
    List<ServerPoll> duePolls(long nowMs);

    /**
     * Applies the report of a backend server.
     *
     * @param report the report
     * @param nowMs current time, epoch milliseconds
     */
    void applyReport(ServerReport report, long nowMs);

    /**
     * Records that a poll or a request could not reach a backend server.
     *
     * @param server the server
     * @param nowMs current time, epoch milliseconds
     */
    void recordUnreachable(ServerId server, long nowMs);

    /**
     * Records that a backend server refused a request because it is draining.
     *
     * @param server the server
     * @param nowMs current time, epoch milliseconds
     */
    void recordServerDraining(ServerId server, long nowMs);

    /** Marks the local instance as draining. The mark cannot be removed. */
    void startDraining();

    /**
     * Records the local estimate of the load of the local region.
     *
     * @param load ratio of predicted wait to target wait; 1 means fully loaded
     * @param spare spare capacity offered to other regions, tokens per second
     */
    void updateRegionLoad(double load, double spare);

    /**
     * Replaces the demand of workspaces at the local instance.
     *
     * @param demands demand to send to peers; that of a bound workspace is sent only to peers in its home region
     */
    void updateDemand(List<LocalDemand> demands);

    /**
     * Advances the time: expires suspicions and prepares load summaries.
     *
     * @param nowMs current time, epoch milliseconds
     */
    void tick(long nowMs);

    /**
     * Returns whether most contacts of the last seconds failed, so that the local instance is probably isolated.
     *
     * @param nowMs current time, epoch milliseconds
     * @return whether the local instance is probably isolated
     */
    boolean isolated(long nowMs);

    /**
     * Returns whether urgent updates are waiting to be sent.
     *
     * @param nowMs current time, epoch milliseconds
     * @return whether messages should be sent more often than usual
     */
    boolean hasUrgentUpdates(long nowMs);

    /**
     * Returns the rank of the local instance, among the instances of its availability zone, for a task of the zone.
     *
     * @param task name of the task
     * @return the rank; 0 for the instance that should perform the task
     */
    int rank(String task);

    /**
     * Returns whether an instance is in the local availability zone.
     *
     * @param id the instance
     * @return whether it is known to be in the zone
     */
    boolean isInLocalZone(InstanceId id);

    /**
     * Returns a snapshot of the membership view.
     *
     * @param declaredModels models to assume for a server of a pool until its own are known
     * @param refreshedAtMs time of the last refresh, epoch milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the snapshot
     */
    FleetView view(Function<PoolId, Set<ModelId>> declaredModels, long refreshedAtMs, long nowMs);
}
