package org.ibissaddle.peer;

import java.util.HashMap;
import java.util.Map;
import org.ibissaddle.catalog.StoreVersion;
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
 * @param storeVersion latest version of the platform's store that it knows; {@link StoreVersion#NONE} if another
 *     instance relayed the state
 * @param platformReachable whether its calls to the platform's store succeed; false if it makes none
 * @param knownInstances number of instances that it knows, including itself; 0 if it has an earlier version
 * @param services load of the backend servers in its region, by service; empty within the region
 * @param version number that increases within the incarnation when {@code ready}, {@code draining},
 *     {@code platformReachable}, {@code followsReader} or {@code behind} changes; 0 if it has an earlier version, which
 *     sends no heartbeats
 * @param followsReader whether it makes no calls to the store because it follows the readers of its zone
 * @param behind whether its event loop is behind, so that callers are sent to others first
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
        StoreVersion storeVersion,
        boolean platformReachable,
        int knownInstances,
        Map<String, ServiceLoad> services,
        int version,
        boolean followsReader,
        boolean behind) {
    /** Makes a defensive copy of the map. */
    public PeerState {
        services = Map.copyOf(services);
    }

    /**
     * Creates the state of an instance of an earlier version, which sends no heartbeats.
     *
     * @param id the instance
     * @param incarnation start time of its process, epoch milliseconds
     * @param sequence sequence number of the message within the incarnation
     * @param region its region
     * @param zone its availability zone
     * @param callerAddress address for callers
     * @param peerAddress address for other instances
     * @param ready whether it accepts requests from callers
     * @param draining whether it is shutting down
     * @param storeVersion latest version of the platform's store that it knows
     * @param platformReachable whether it can reach the platform
     * @param knownInstances number of instances that it knows, including itself
     * @param services load of the backend servers in its region, by service
     */
    public PeerState(
            InstanceId id,
            long incarnation,
            long sequence,
            Region region,
            Zone zone,
            Address callerAddress,
            Address peerAddress,
            boolean ready,
            boolean draining,
            StoreVersion storeVersion,
            boolean platformReachable,
            int knownInstances,
            Map<String, ServiceLoad> services) {
        this(
                id,
                incarnation,
                sequence,
                region,
                zone,
                callerAddress,
                peerAddress,
                ready,
                draining,
                storeVersion,
                platformReachable,
                knownInstances,
                services,
                0,
                false,
                false);
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
        return withServices(updated);
    }

    /**
     * Returns a copy of this state with the loads of all services replaced.
     *
     * @param loads the new loads
     * @return the copy
     */
    public PeerState withServices(Map<String, ServiceLoad> loads) {
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
                storeVersion,
                platformReachable,
                knownInstances,
                loads,
                version,
                followsReader,
                behind);
    }
}
