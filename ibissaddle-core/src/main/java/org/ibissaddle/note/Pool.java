package org.ibissaddle.note;

import java.util.Set;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;

/**
 * A pool of backend servers that do the same work.
 *
 * @param id name of the pool
 * @param kind model engines or a plain service
 * @param models model versions that its engines should hold; empty for plain services
 * @param checksTokens whether its servers refuse orders that carry an old fencing token
 * @param pricePerMillionTokens price of a million tokens, in the deployment's currency
 */
public record Pool(PoolId id, PoolKind kind, Set<ModelId> models, boolean checksTokens, double pricePerMillionTokens) {
    /** Copies the models. */
    public Pool {
        models = Set.copyOf(models);
    }
}
