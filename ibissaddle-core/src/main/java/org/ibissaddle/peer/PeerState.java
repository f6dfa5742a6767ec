package org.ibissaddle.peer;

import java.util.HashMap;
import java.util.Map;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * What an instance says of itself.
 *
 * @param id the instance
 * @param incarnation start of its process, epoch milliseconds; a later one replaces an earlier one
 * @param sequence number of the message within the incarnation
 * @param region its region
 * @param zone its availability zone
 * @param callerAddress where callers connect
 * @param peerAddress where other instances connect
 * @param ready whether it takes callers
 * @param draining whether it is leaving, and takes callers only while no other does
 * @param revision highest revision of the platform that it has seen
 * @param platformReachable whether it reaches the platform
 * @param services how busy the servers of its region are, by service
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
        Map<String, ServiceLoad> services) {
    /** Copies the loads. */
    public PeerState {
        services = Map.copyOf(services);
    }

    /**
     * Returns this state with another load of a service.
     *
     * @param service the service
     * @param load its load
     * @return the new state
     */
    public PeerState withLoad(String service, ServiceLoad load) {
        Map<String, ServiceLoad> loads = new HashMap<>(services);
        loads.put(service, load);
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
                loads);
    }

    /**
     * Tells whether this state is newer than another of the same instance.
     *
     * @param other the other state
     * @return whether it comes from a later incarnation, or later in the same one
     */
    public boolean isNewerThan(PeerState other) {
        return incarnation > other.incarnation || (incarnation == other.incarnation && sequence > other.sequence);
    }
}
