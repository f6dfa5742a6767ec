package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Which way work flows between the own region and another. For some seconds after work was sent none is accepted, and
 * the other way round, so that two regions never swap work whatever each believes of the other.
 */
final class Direction {
    /** How long a direction is kept after its last use, milliseconds. */
    static final long KEEP_MS = 5_000;

    private static final long ACCEPTING = 1;
    private final AtomicLong word = new AtomicLong();

    /** Takes the direction outwards; fails while work is being accepted. */
    boolean trySend(long nowMs) {
        return take(0, nowMs);
    }

    /** Takes the direction inwards; fails while work is being sent. */
    boolean tryAccept(long nowMs) {
        return take(ACCEPTING, nowMs);
    }

    /** Whether work was sent lately. */
    boolean sending(long nowMs) {
        return inUse(word.get(), 0, nowMs);
    }

    /** Whether work was accepted lately. */
    boolean accepting(long nowMs) {
        return inUse(word.get(), ACCEPTING, nowMs);
    }

    private boolean take(long way, long nowMs) {
        while (true) {
            long old = word.get();
            if (inUse(old, 1 - way, nowMs)) {
                return false;
            }
            long until = Math.max(old >> 1, nowMs + KEEP_MS);
            if (word.compareAndSet(old, until << 1 | way)) {
                return true;
            }
        }
    }

    private static boolean inUse(long word, long way, long nowMs) {
        return (word & 1) == way && word >> 1 > nowMs;
    }
}
