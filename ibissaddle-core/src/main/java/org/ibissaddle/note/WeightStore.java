package org.ibissaddle.note;

import java.util.Optional;
import org.ibissaddle.id.Region;

/**
 * The platform's rate-limited store of weights, by which loads are spaced.
 *
 * @param region region that the store is in; empty when loads cross no wide-area link
 * @param bytesPerSecond rate of the store for all readers together, bytes per second
 * @param bytesPerModel size assumed of a model version, bytes
 * @param bytesPerAdapter size assumed of an adapter, bytes
 */
public record WeightStore(Optional<Region> region, long bytesPerSecond, long bytesPerModel, long bytesPerAdapter) {
    /** A store in no particular region, used when the note declares none: 1 Gb/s, 16 GB a model, 0.2 GB an adapter. */
    public static final WeightStore DEFAULT =
            new WeightStore(Optional.empty(), 125_000_000L, 16_000_000_000L, 200_000_000L);
}
