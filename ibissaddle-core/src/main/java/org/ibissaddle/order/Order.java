package org.ibissaddle.order;

import java.util.Optional;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;

/**
 * An order to an engine.
 *
 * @param server the engine
 * @param address where it is reached
 * @param kind what it shall do
 * @param model the model version
 * @param adapter the adapter, empty when the model version itself is meant
 * @param token fencing token from published data; an engine that checks tokens refuses a lower one than it has seen
 * @param validUntilMs the order must not be sent after this time, epoch milliseconds
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
        /** Load weights. Harmless when it comes late or twice. */
        LOAD,
        /** Unload weights. Given late, it takes away what a newer note wants. */
        UNLOAD
    }
}
