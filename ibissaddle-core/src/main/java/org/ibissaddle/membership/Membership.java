package org.ibissaddle.membership;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.internal.membership.Beliefs;

/**
 * Who is in the fleet and in which state, as one instance believes it. A state machine without clock or I/O, for one
 * thread; {@link ControlLoop} drives it.
 *
 * <p>Three sources are joined: the platform's list, which lags; what the instance observes itself; and what others
 * tell. A leaving mark wins over the list within one incarnation. First-hand failures make a member or server suspect,
 * never more, while the instance finds most of its contacts failing, since then it is likely cut off itself.
 */
public interface Membership {
    /**
     * Creates the beliefs of an instance that knows nobody yet.
     *
     * @param self the instance
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     * @return the beliefs
     */
    static Membership create(Self self, RandomGenerator random, long nowMs) {
        return new Beliefs(self, random, nowMs);
    }

    /**
     * Takes in the platform's list. A revision below the newest one is ignored for a while, and so is an empty list.
     *
     * @param list the list
     * @param nowMs current time, epoch milliseconds
     */
    void list(FleetList list, long nowMs);

    /**
     * Returns the newest list taken in.
     *
     * @return the list, revision 0 and empty before the first
     */
    FleetList newestList();

    /**
     * Chooses whom to exchange messages with next.
     *
     * @param nowMs current time, epoch milliseconds
     * @return a peer, empty when none is known
     */
    Optional<Peer> nextPeer(long nowMs);

    /**
     * Fills a message with what the receiver should hear.
     *
     * @param receiver the receiver, empty when only its address is known
     * @param note the own note
     * @param list the own list
     * @param readAgeMs age of the last read of the platform by the own zone
     * @param nowMs current time, epoch milliseconds
     * @return the message
     */
    Gossip tell(Optional<InstanceId> receiver, Gossip.Mark note, Gossip.Mark list, long readAgeMs, long nowMs);

    /**
     * Takes in a message or the answer to one, received from its sender itself.
     *
     * @param gossip the message
     * @param nowMs current time, epoch milliseconds
     */
    void hear(Gossip gossip, long nowMs);

    /**
     * Summarizes the beliefs for an instance that has missed news.
     *
     * @param receiver its region
     * @param nowMs current time, epoch milliseconds
     * @return what differs from the platform's list, and the servers of the region when both are in it
     */
    Snapshot snapshot(Region receiver, long nowMs);

    /**
     * Takes in the beliefs of another instance.
     *
     * @param snapshot its beliefs
     * @param nowMs current time, epoch milliseconds
     */
    void catchUp(Snapshot snapshot, long nowMs);

    /**
     * Records that a peer answered or did not.
     *
     * @param peer the peer
     * @param answered whether it answered
     * @param nowMs current time, epoch milliseconds
     */
    void contacted(Optional<InstanceId> peer, boolean answered, long nowMs);

    /**
     * Lists the servers that this instance should ask for their load now.
     *
     * @param nowMs current time, epoch milliseconds
     * @return the servers, each at most once until it is reported on
     */
    List<ServerPoll> duePolls(long nowMs);

    /**
     * Takes in what a server said of itself.
     *
     * @param report its report
     * @param nowMs current time, epoch milliseconds
     */
    void reported(ServerReport report, long nowMs);

    /**
     * Records that a server could not be reached, by a poll or by a request.
     *
     * @param server the server
     * @param nowMs current time, epoch milliseconds
     */
    void unreachable(ServerId server, long nowMs);

    /**
     * Records that a server refused a request because it leaves.
     *
     * @param server the server
     * @param nowMs current time, epoch milliseconds
     */
    void leaving(ServerId server, long nowMs);

    /** Marks the own instance as leaving; there is no way back. */
    void leave();

    /**
     * Records the own estimate of the own region.
     *
     * @param load predicted wait over target, 1 is full
     * @param spare capacity offered to other regions, tokens per second
     */
    void estimate(double load, double spare);

    /**
     * Takes in the demands of workspaces at the own instance.
     *
     * @param demands what peers are told; bound workspaces only inside their home
     */
    void demand(List<OwnDemand> demands);

    /**
     * Advances time: ends suspicions, prepares summaries.
     *
     * @param nowMs current time, epoch milliseconds
     */
    void tick(long nowMs);

    /**
     * Tells whether most contacts of the last seconds failed, so that the instance is likely cut off itself.
     *
     * @param nowMs current time, epoch milliseconds
     * @return whether it believes itself cut off
     */
    boolean isolated(long nowMs);

    /**
     * Tells whether something urgent waits to be passed on.
     *
     * @param nowMs current time, epoch milliseconds
     * @return whether messages should be sent faster than usual
     */
    boolean urgent(long nowMs);

    /**
     * Finds the place of this instance among those of its zone for a task of the zone.
     *
     * @param task name of the task
     * @return 0 when it is the first choice
     */
    int rank(String task);

    /**
     * Tells whether an instance is in the own zone.
     *
     * @param id the instance
     * @return whether it is known to be
     */
    boolean inOwnZone(InstanceId id);

    /**
     * Takes a snapshot of the beliefs.
     *
     * @param refreshedAtMs when they were last refreshed, epoch milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the snapshot
     */
    FleetView view(long refreshedAtMs, long nowMs);
}
