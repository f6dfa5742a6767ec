package org.ibissaddle.standins.internal;

/** Numbers the starts of a server so that a later start has a higher number. */
public final class Incarnation {
    private Incarnation() {}

    /** Returns the number of a start that follows the given one. */
    public static long next(long previous) {
        return Math.max(previous + 1, System.currentTimeMillis());
    }
}
