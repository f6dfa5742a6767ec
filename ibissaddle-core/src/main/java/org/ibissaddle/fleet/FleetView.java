package org.ibissaddle.fleet;

import java.util.List;
import java.util.Optional;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;

/**
 * Immutable snapshot of the fleet as seen by one instance. A newer view replaces it as a whole.
 *
 * @param self the local instance
 * @param peers the other instances, ordered by name
 * @param servers backend servers in the local region, ordered by name
 * @param refreshedAtMs when the view was last refreshed, epoch milliseconds
 */
public record FleetView(InstanceView self, List<InstanceView> peers, List<ServerView> servers, long refreshedAtMs) {
    /** Creates a view with unmodifiable copies of the lists. */
    public FleetView {
        peers = List.copyOf(peers);
        servers = List.copyOf(servers);
    }

    /**
     * Returns the servers of a pool.
     *
     * @param pool the pool
     * @return its servers in the local region
     */
    public List<ServerView> serversInPool(PoolId pool) {
        return servers.stream().filter(server -> server.pool().equals(pool)).toList();
    }

    /**
     * Returns the peer with the given name.
     *
     * @param id name of the peer
     * @return the peer, empty if it is unknown
     */
    public Optional<InstanceView> peer(InstanceId id) {
        return peers.stream().filter(peer -> peer.id().equals(id)).findFirst();
    }
}
