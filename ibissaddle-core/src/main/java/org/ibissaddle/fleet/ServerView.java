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
 * A backend server as an instance sees it.
 *
 * @param id name of the server
 * @param incarnation its incarnation, empty when never heard from
 * @param pool pool that it belongs to
 * @param region its region
 * @param zone its availability zone
 * @param address where it is reached
 * @param health what is believed of it
 * @param models model versions resident on it
 * @param load its last load report
 * @param adapters adapters resident on it
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
    /** Copies the models and adapters. */
    public ServerView {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /**
     * A server without adapters.
     *
     * @param id name of the server
     * @param incarnation its incarnation
     * @param pool pool that it belongs to
     * @param region its region
     * @param zone its availability zone
     * @param address where it is reached
     * @param health what is believed of it
     * @param models model versions resident on it
     * @param load its last load report
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
