package org.ibissaddle.order;

import java.util.Optional;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;

/**
 * A command to an engine to load or unload a model version or adapter.
 *
 * @param server the engine
 * @param address network address of the engine
 * @param kind whether to load or unload
 * @param model the model version
 * @param adapter the adapter, empty if the order concerns the model version itself
 * @param token fencing token derived from published data; an engine that checks tokens rejects a token lower than the
 *     highest it has seen
 * @param validUntilMs time after which the order must not be sent, epoch milliseconds
 */
public record Order(
        ServerId server,
        Address address,
        Kind kind,
        ModelId model,
        Optional<AdapterId> adapter,
        FencingToken token,
        long validUntilMs) {
    /** Kinds of orders. */
    public enum Kind {
        /** Load weights. Safe if delivered late or more than once. */
        LOAD,
        /** Unload weights. If delivered late, it can remove a model that a newer release note declares. */
        UNLOAD
    }
}
