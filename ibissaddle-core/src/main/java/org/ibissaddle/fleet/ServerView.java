package org.ibissaddle.fleet;

import java.util.Optional;
import java.util.Set;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;

/**
 * State of a backend server as seen by one instance.
 *
 * @param id name of the server
 * @param incarnation its incarnation, empty if not yet known
 * @param pool pool the server belongs to
 * @param region its region
 * @param zone its availability zone
 * @param address address for requests
 * @param health its health as observed
 * @param models model versions loaded on the server
 * @param load its last load report; once stale, a newer mean of its pool and zone if one is known
 * @param adapters adapters loaded on the server
 */
public record ServerView(
        ServerId id,
        Optional<Incarnation> incarnation,
        PoolId pool,
        Region region,
        Zone zone,
        Address address,
        Health health,
        Set<ModelId> models,
        ServerLoad load,
        Set<AdapterId> adapters) {
    /** Creates a view with unmodifiable copies of the sets. */
    public ServerView {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /**
     * Creates a view of a server without adapters.
     *
     * @param id name of the server
     * @param incarnation its incarnation
     * @param pool pool the server belongs to
     * @param region its region
     * @param zone its availability zone
     * @param address address for requests
     * @param health its health as observed
     * @param models model versions loaded on the server
     * @param load its last load report; once stale, a newer mean of its pool and zone if one is known
     */
    public ServerView(
            ServerId id,
            Optional<Incarnation> incarnation,
            PoolId pool,
            Region region,
            Zone zone,
            Address address,
            Health health,
            Set<ModelId> models,
            ServerLoad load) {
        this(id, incarnation, pool, region, zone, address, health, models, load, Set.of());
    }
}
