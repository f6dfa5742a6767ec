package org.ibissaddle.standins.internal.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.ibissaddle.standins.LinkFaults;

/** One direction of a link, whose bandwidth all its connections share. */
final class Wire {
    private static final double NANOS_PER_SECOND = 1e9;

    private final FaultLink link;
    private final Predicate<LinkFaults.Cut> cutsThis;
    private long freeAt = System.nanoTime();

    Wire(FaultLink link, Predicate<LinkFaults.Cut> cutsThis) {
        this.link = link;
        this.cutsThis = cutsThis;
    }

    /** Whether nothing is carried now. */
    boolean isCut() {
        return cutsThis.test(link.faults().cut());
    }

    /** Returns when bytes that arrive now are delivered, on the clock of {@link System#nanoTime()}. */
    long deliveryTime(int bytes) {
        LinkFaults faults = link.faults();
        long now = System.nanoTime();
        if (faults.bytesPerSecond() == 0 || freeAt - now < 0) {
            freeAt = now;
        }
        if (faults.bytesPerSecond() > 0) {
            freeAt += (long) (bytes * NANOS_PER_SECOND / faults.bytesPerSecond());
        }
        return freeAt + TimeUnit.MILLISECONDS.toNanos(faults.delayMs());
    }
}
