package org.ibissaddle.internal.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.InstanceId;

/**
 * State of an active workspace on one instance: demand, share of the limit, rate limiter and last known shares of
 * peers.
 */
final class WorkspaceUsage {
    private static final long WINDOW_MS = 1_000;
    private static final int COUNT_BITS = 20;
    private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MS = 1_000;
    private static final long BURST_MICROS = 500_000;

    volatile double share;
    volatile long shareUntilMs = Long.MIN_VALUE;
    /** Window index in the upper bits and request count in the lower {@link #COUNT_BITS} bits. */
    private final AtomicLong packedWindow = new AtomicLong();

    private final AtomicLong packedPrevious = new AtomicLong();
    private final AtomicLong theoreticalArrivalMicros = new AtomicLong();
    private final Map<InstanceId, Double> peerShares = new ConcurrentHashMap<>();

    /** Counts a request in the current window. */
    void recordArrival(long nowMs) {
        long index = nowMs / WINDOW_MS;
        long old =
                packedWindow.getAndUpdate(packed -> (packed >> COUNT_BITS == index ? packed : index << COUNT_BITS) + 1);
        if (old >> COUNT_BITS != index) {
            packedPrevious.set(old);
        }
    }

    /** Returns requests per second, estimated over a sliding window of {@link #WINDOW_MS}. */
    double demand(long nowMs) {
        long index = nowMs / WINDOW_MS;
        double elapsed = (double) (nowMs % WINDOW_MS) / WINDOW_MS;
        long now = packedWindow.get();
        long lastPacked = now >> COUNT_BITS == index - 1 ? now : packedPrevious.get();
        double last = lastPacked >> COUNT_BITS == index - 1 ? lastPacked & COUNT_MASK : 0;
        double current = now >> COUNT_BITS == index ? now & COUNT_MASK : 0;
        return last * (1 - elapsed) + current;
    }

    /** Returns the start of the last window with a request, epoch milliseconds. */
    long lastActiveMs() {
        return (packedWindow.get() >> COUNT_BITS) * WINDOW_MS;
    }

    /**
     * Counts a request against the limit with the generic cell rate algorithm (GCRA).
     *
     * @return {@code nowMs} if the request is within the limit, otherwise the later time at which to retry
     */
    long tryAcquire(double perSecond, long nowMs) {
        if (perSecond <= 0) {
            return nowMs + WINDOW_MS;
        }
        long now = nowMs * MICROS_PER_MS;
        long interval = (long) (MICROS_PER_SECOND / perSecond);
        long burst = Math.max(BURST_MICROS, interval);
        while (true) {
            long old = theoreticalArrivalMicros.get();
            long next = Math.max(old, now) + interval;
            if (next - now > burst) {
                return nowMs + (next - now - burst) / MICROS_PER_MS + 1;
            }
            if (theoreticalArrivalMicros.compareAndSet(old, next)) {
                return nowMs;
            }
        }
    }

    /** Stores the share of a peer; a share of zero removes the entry. */
    void setPeerShare(InstanceId peer, double newShare) {
        if (newShare > 0) {
            peerShares.put(peer, newShare);
        } else {
            peerShares.remove(peer);
        }
    }

    /** Returns the last known share of a peer, or the default if none is stored. */
    double peerShare(InstanceId peer, double defaultShare) {
        return peerShares.getOrDefault(peer, defaultShare);
    }
}
