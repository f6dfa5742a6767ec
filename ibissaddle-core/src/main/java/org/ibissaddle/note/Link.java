package org.ibissaddle.note;

import org.ibissaddle.id.Region;

/**
 * The wide-area link between two regions, the same in both directions.
 *
 * @param a the first region by name
 * @param b the second region by name
 * @param bytesPerSecond capacity each way for all traffic, bytes per second
 * @param roundTripMs round-trip time, milliseconds
 * @param pricePerGigabyte price of a gigabyte sent, in the deployment's currency
 */
public record Link(Region a, Region b, long bytesPerSecond, long roundTripMs, double pricePerGigabyte) {
    /**
     * Tells whether the link joins two regions.
     *
     * @param x a region
     * @param y another region
     * @return whether this is their link
     */
    public boolean joins(Region x, Region y) {
        return (a.equals(x) && b.equals(y)) || (a.equals(y) && b.equals(x));
    }
}
