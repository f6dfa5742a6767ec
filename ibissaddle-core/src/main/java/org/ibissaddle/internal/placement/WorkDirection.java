package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Direction in which work is forwarded between this instance and another region. After work was sent, none is accepted
 * for {@link #HOLD_MS}, and vice versa. Two instances therefore never forward work to each other at the same time,
 * however stale their views are. Comparing loads alone can't rule that out.
 */
final class WorkDirection {
    /** How long a direction is held after its last use, milliseconds. */
    static final long HOLD_MS = 5_000;

    private static final long INBOUND = 1;

    /** Expiry of the direction in epoch milliseconds, shifted left by one; the lowest bit is the direction. */
    private final AtomicLong state = new AtomicLong();

    /** Acquires the outbound direction; fails while the inbound direction is held. */
    boolean trySend(long nowMs) {
        return acquire(0, nowMs);
    }

    /** Acquires the inbound direction; fails while the outbound direction is held. */
    boolean tryAccept(long nowMs) {
        return acquire(INBOUND, nowMs);
    }

    /** Returns whether the outbound direction is held. */
    boolean sending(long nowMs) {
        return inUse(state.get(), 0, nowMs);
    }

    /** Returns whether the inbound direction is held. */
    boolean accepting(long nowMs) {
        return inUse(state.get(), INBOUND, nowMs);
    }

    private boolean acquire(long direction, long nowMs) {
        while (true) {
            long old = state.get();
            if (inUse(old, 1 - direction, nowMs)) {
                return false;
            }
            long until = Math.max(old >> 1, nowMs + HOLD_MS);
            if (state.compareAndSet(old, until << 1 | direction)) {
                return true;
            }
        }
    }

    private static boolean inUse(long state, long direction, long nowMs) {
        return (state & 1) == direction && state >> 1 > nowMs;
    }
}
