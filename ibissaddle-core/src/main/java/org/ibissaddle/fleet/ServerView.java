package org.ibissaddle.fleet;

import java.util.Optional;
import java.util.Set;
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
        ServerLoad load) {
    /** Copies the models. */
    public ServerView {
        models = Set.copyOf(models);
    }
}
