package org.ibissaddle.fleet;

import java.util.List;
import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;

/**
 * What one instance believes of the fleet at one moment. Replaced as a whole, never changed.
 *
 * @param self the instance itself
 * @param peers the other instances, ordered by name
 * @param servers backend servers of the own region, ordered by name
 * @param refreshedAtMs when the beliefs were last refreshed, epoch milliseconds
 */
public record FleetView(InstanceView self, List<InstanceView> peers, List<ServerView> servers, long refreshedAtMs) {
    /** Copies the lists. */
    public FleetView {
        peers = List.copyOf(peers);
        servers = List.copyOf(servers);
    }

    /**
     * Lists the servers of a pool.
     *
     * @param pool the pool
     * @return its servers in the own region
     */
    public List<ServerView> serversOf(PoolId pool) {
        return servers.stream().filter(server -> server.pool().equals(pool)).toList();
    }

    /**
     * Finds a peer.
     *
     * @param id its name
     * @return the peer, empty when it is not known
     */
    public Optional<InstanceView> peer(InstanceId id) {
        return peers.stream().filter(peer -> peer.id().equals(id)).findFirst();
    }
}
