package org.ibissaddle.standins.internal.platform;

import java.util.ArrayDeque;
import java.util.Deque;

/** Measures the number of reads in the last second and its maximum so far. */
public final class ReadMeter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Deque<Long> recent = new ArrayDeque<>();
    private int max;

    /** Records a read. */
    public void recordRead(long nowNanos) {
        recent.addLast(nowNanos);
        max = Math.max(max, lastSecond(nowNanos));
    }

    /** Returns the number of reads in the last second. */
    public int lastSecond(long nowNanos) {
        while (!recent.isEmpty() && recent.peekFirst() <= nowNanos - SECOND_NANOS) {
            recent.removeFirst();
        }
        return recent.size();
    }

    /** Returns the maximum number of reads within one second so far. */
    public int max() {
        return max;
    }
}
