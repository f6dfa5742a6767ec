package org.ibissaddle.note;

import java.util.Optional;
import org.ibissaddle.id.Region;

/**
 * The platform's store of model weights. Its rate limit determines how model loads are spaced over time.
 *
 * @param region region of the store; empty if loads do not use a wide-area link
 * @param bytesPerSecond total rate limit for all readers, in bytes per second
 * @param bytesPerModel assumed size of a model version in bytes
 * @param bytesPerAdapter assumed size of an adapter in bytes
 */
public record WeightStore(Optional<Region> region, long bytesPerSecond, long bytesPerModel, long bytesPerAdapter) {
    /** The default if the note declares no store: no region, 1 Gbit/s, 16 GB per model, 0.2 GB per adapter. */
    public static final WeightStore DEFAULT =
            new WeightStore(Optional.empty(), 125_000_000L, 16_000_000_000L, 200_000_000L);
}
