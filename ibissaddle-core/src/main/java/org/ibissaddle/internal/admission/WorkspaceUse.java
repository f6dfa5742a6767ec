package org.ibissaddle.internal.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.InstanceId;

/** What one instance remembers of an active workspace: its demand, its share, and when its limit is free again. */
final class WorkspaceUse {
    private static final long WINDOW_MS = 1_000;
    private static final int COUNT_BITS = 20;
    private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MS = 1_000;
    private static final long BURST_MICROS = 500_000;

    volatile double share;
    volatile long shareUntilMs = Long.MIN_VALUE;
    private final AtomicLong window = new AtomicLong();
    private final AtomicLong previous = new AtomicLong();
    private final AtomicLong freeAtMicros = new AtomicLong();
    private final Map<InstanceId, Double> peerShares = new ConcurrentHashMap<>();

    /** Counts a request. */
    void arrived(long nowMs) {
        long index = nowMs / WINDOW_MS;
        long old = window.getAndUpdate(word -> (word >> COUNT_BITS == index ? word : index << COUNT_BITS) + 1);
        if (old >> COUNT_BITS != index) {
            previous.set(old);
        }
    }

    /** Requests per second lately. */
    double demand(long nowMs) {
        long index = nowMs / WINDOW_MS;
        double part = (double) (nowMs % WINDOW_MS) / WINDOW_MS;
        long now = window.get();
        long before = now >> COUNT_BITS == index - 1 ? now : previous.get();
        double last = before >> COUNT_BITS == index - 1 ? before & COUNT_MASK : 0;
        double current = now >> COUNT_BITS == index ? now & COUNT_MASK : 0;
        return last * (1 - part) + current;
    }

    /** Start of the last window with a request, epoch milliseconds. */
    long idleSince() {
        return (window.get() >> COUNT_BITS) * WINDOW_MS;
    }

    /** Takes a request out of the limit, or tells when there will be one: a time that has passed when it was taken. */
    long take(double perSecond, long nowMs) {
        if (perSecond <= 0) {
            return nowMs + WINDOW_MS;
        }
        long now = nowMs * MICROS_PER_MS;
        long interval = (long) (MICROS_PER_SECOND / perSecond);
        long burst = Math.max(BURST_MICROS, interval);
        while (true) {
            long old = freeAtMicros.get();
            long next = Math.max(old, now) + interval;
            if (next - now > burst) {
                return nowMs + (next - now - burst) / MICROS_PER_MS + 1;
            }
            if (freeAtMicros.compareAndSet(old, next)) {
                return nowMs;
            }
        }
    }

    /** Remembers the share of a peer; zero is not kept. */
    void remember(InstanceId peer, double peerShare) {
        if (peerShare > 0) {
            peerShares.put(peer, peerShare);
        } else {
            peerShares.remove(peer);
        }
    }

    /** The share that a peer had when it was last heard from. */
    double shareOf(InstanceId peer, double otherwise) {
        return peerShares.getOrDefault(peer, otherwise);
    }
}
