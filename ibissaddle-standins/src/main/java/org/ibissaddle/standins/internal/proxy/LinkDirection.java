package org.ibissaddle.standins.internal.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.ibissaddle.standins.LinkFaults;

/** Direction of a link: computes delivery times under the bandwidth limit that all its connections share. */
final class LinkDirection {
    private static final double NANOS_PER_SECOND = 1e9;

    private final FaultLink link;
    private final Predicate<LinkFaults.Cut> cutsDirection;
    private long nextFreeNanos = System.nanoTime();

    LinkDirection(FaultLink link, Predicate<LinkFaults.Cut> cutsDirection) {
        this.link = link;
        this.cutsDirection = cutsDirection;
    }

    /** Returns whether a fault currently blocks this direction. */
    boolean isCut() {
        return cutsDirection.test(link.faults().cut());
    }

    /** Returns the {@link System#nanoTime()} at which bytes received now are due for delivery. */
    long deliveryTimeNanos(int bytes) {
        LinkFaults faults = link.faults();
        long now = System.nanoTime();
        if (faults.bytesPerSecond() == 0 || nextFreeNanos - now < 0) {
            nextFreeNanos = now;
        }
        if (faults.bytesPerSecond() > 0) {
            nextFreeNanos += (long) (bytes * NANOS_PER_SECOND / faults.bytesPerSecond());
        }
        return nextFreeNanos + TimeUnit.MILLISECONDS.toNanos(faults.delayMs());
    }
}
