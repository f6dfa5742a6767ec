package org.ibissaddle.standins.internal;

/** Generates incarnation numbers, which increase with every start of a server. */
public final class IncarnationGenerator {
    private IncarnationGenerator() {}

    /**
     * Returns the incarnation number that follows {@code previous}; at least the current time in epoch milliseconds.
     */
    public static long next(long previous) {
        return Math.max(previous + 1, System.currentTimeMillis());
    }
}
