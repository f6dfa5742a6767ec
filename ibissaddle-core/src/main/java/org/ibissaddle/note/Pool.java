package org.ibissaddle.note;

import java.util.Set;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;

/**
 * A pool of interchangeable backend servers.
 *
 * @param id name of the pool
 * @param kind model engines or plain services
 * @param models model versions that its engines should have loaded; empty for plain services
 * @param checksTokens whether its servers reject orders with an outdated fencing token
 * @param pricePerMillionTokens price per million tokens, in the currency of the deployment
 */
public record Pool(PoolId id, PoolKind kind, Set<ModelId> models, boolean checksTokens, double pricePerMillionTokens) {
    /** Makes a defensive copy of the models. */
    public Pool {
        models = Set.copyOf(models);
    }
}
