package org.ibissaddle.peer;

import java.util.Map;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/** Adds running instances to tables of tests. */
public final class KnownPeers {
    private static final Address ADDRESS = new Address("10.0.0.1", 1_000);

    private KnownPeers() {}

    /**
     * Adds an instance that is ready.
     *
     * @param peers the table
     * @param id the instance
     * @param region its region
     * @param zone its availability zone
     * @param nowMs current time in milliseconds
     */
    public static void add(PeerTable peers, InstanceId id, Region region, Zone zone, long nowMs) {
        add(peers, id, region, zone, 0, nowMs);
    }

    /**
     * Adds an instance that is ready and reports how many instances it knows.
     *
     * @param peers the table
     * @param id the instance
     * @param region its region
     * @param zone its availability zone
     * @param knownInstances the number that it reports
     * @param nowMs current time in milliseconds
     */
    public static void add(PeerTable peers, InstanceId id, Region region, Zone zone, int knownInstances, long nowMs) {
        PeerState state = new PeerState(
                id,
                1,
                1,
                region,
                zone,
                ADDRESS,
                ADDRESS,
                true,
                false,
                new StoreVersion(0, 1),
                true,
                knownInstances,
                Map.of());
        peers.update(new RelayedState(state, 0), nowMs);
    }
}
