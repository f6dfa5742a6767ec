package org.ibissaddle.standins.internal.platform;

import java.util.ArrayDeque;
import java.util.Deque;

/** Measures the reads in the last second, and the most there were in any second. */
public final class ReadMeter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Deque<Long> recent = new ArrayDeque<>();
    private int max;

    /** Counts a read. */
    public void mark(long nowNanos) {
        recent.addLast(nowNanos);
        max = Math.max(max, lastSecond(nowNanos));
    }

    /** The reads in the last second. */
    public int lastSecond(long nowNanos) {
        while (!recent.isEmpty() && recent.peekFirst() <= nowNanos - SECOND_NANOS) {
            recent.removeFirst();
        }
        return recent.size();
    }

    /** The most reads in any second so far. */
    public int max() {
        return max;
    }
}
