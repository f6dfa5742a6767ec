package org.ibissaddle.peer;

import java.util.HashMap;
import java.util.Map;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * State that an instance reports about itself.
 *
 * @param id the instance
 * @param incarnation start time of its process, epoch milliseconds; a later incarnation replaces an earlier one
 * @param sequence sequence number of the message within the incarnation
 * @param region its region
 * @param zone its availability zone
 * @param callerAddress address for callers
 * @param peerAddress address for other instances
 * @param ready whether it accepts requests from callers
 * @param draining whether it is shutting down; callers are sent to it only when no ready instance is preferred
 * @param revision highest platform revision that it has read
 * @param platformReachable whether it can reach the platform
 * @param knownInstances number of instances that it knows, including itself; 0 if it has an earlier version
 * @param services load of the backend servers in its region, by service
 */
public record PeerState(
        InstanceId id,
        long incarnation,
        long sequence,
        Region region,
        Zone zone,
        Address callerAddress,
        Address peerAddress,
        boolean ready,
        boolean draining,
        long revision,
        boolean platformReachable,
        int knownInstances,
        Map<String, ServiceLoad> services) {
    /** Makes a defensive copy of the map. */
    public PeerState {
        services = Map.copyOf(services);
    }

    /**
     * Returns a copy of this state with the load of one service replaced.
     *
     * @param service the service
     * @param load the new load
     * @return the copy
     */
    public PeerState withLoad(String service, ServiceLoad load) {
        Map<String, ServiceLoad> updated = new HashMap<>(services);
        updated.put(service, load);
        return new PeerState(
                id,
                incarnation,
                sequence,
                region,
                zone,
                callerAddress,
                peerAddress,
                ready,
                draining,
                revision,
                platformReachable,
                knownInstances,
                updated);
    }

    /**
     * Returns whether this state is newer than another of the same instance.
     *
     * @param other the other state
     * @return whether it has a later incarnation, or the same incarnation and a higher sequence number
     */
    public boolean isNewerThan(PeerState other) {
        return incarnation > other.incarnation || (incarnation == other.incarnation && sequence > other.sequence);
    }
}
