package org.ibissaddle.note;

import org.ibissaddle.id.Region;

/**
 * The wide-area network link between two regions, with the same properties in both directions.
 *
 * @param a the region whose name sorts first
 * @param b the region whose name sorts second
 * @param bytesPerSecond total capacity per direction, in bytes per second
 * @param roundTripMs round-trip time in milliseconds
 * @param pricePerGigabyte price per gigabyte sent, in the currency of the deployment
 */
public record Link(Region a, Region b, long bytesPerSecond, long roundTripMs, double pricePerGigabyte) {
    /**
     * Checks whether this link connects two regions, in either order.
     *
     * @param x a region
     * @param y another region
     * @return true if the link connects the two regions
     */
    public boolean connects(Region x, Region y) {
        return (a.equals(x) && b.equals(y)) || (a.equals(y) && b.equals(x));
    }
}
