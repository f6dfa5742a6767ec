package org.ibissaddle.internal.placement;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.ServerId;

/** Statistics that an instance keeps about one incarnation of a backend server, from its own dispatches and reports. */
final class ServerState {
    private static final double LATENCY_RATIO_SMOOTHING = 0.1;
    private static final double MIN_LATENCY_RATIO = 0.5;
    private static final double MAX_LATENCY_RATIO = 2;
    private static final double LATENCY_RATIO_DECAY_MS = 2_000;
    private static final double RATIO_OFFSET_MS = 20;
    private static final double CACHE_GAP_CONFIDENCE_FACTOR = 0.5;
    private static final double CACHE_EVENT_CONFIDENCE_GAIN = 0.02;
    private static final double MIN_CACHE_CONFIDENCE = 0.1;
    private static final double CACHE_SIZE_SMOOTHING = 0.02;
    private static final int SLOW_START_REQUESTS = 100;

    final ServerId id;
    final PoolId pool;
    final int number;
    final OutstandingWork outstanding = new OutstandingWork();
    final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger succeeded = new AtomicInteger();
    private volatile Optional<Incarnation> incarnation;
    private volatile Health health = Health.LIVE;
    private final AtomicLong insertedBlocks = new AtomicLong();
    private volatile double cacheBlocks = Double.POSITIVE_INFINITY;
    private volatile double latencyRatio = 1;
    private volatile long observedAtMs;
    private volatile double confidence = 1;
    private volatile boolean inSlowStart = true;
    private volatile int slots = Integer.MAX_VALUE;

    ServerState(ServerId id, PoolId pool, Optional<Incarnation> incarnation, int number) {
        this.id = id;
        this.pool = pool;
        this.incarnation = incarnation;
        this.number = number;
    }

    /**
     * Returns the smoothed ratio of observed to predicted time to the first token. Without observations it decays to 1;
     * otherwise refusals would stop the observations and an overload would outlive its cause.
     */
    double latencyRatio(long nowMs) {
        double decay = Math.exp(-Math.max(0, nowMs - observedAtMs) / LATENCY_RATIO_DECAY_MS);
        return 1 + (latencyRatio - 1) * decay;
    }

    /** Confidence in the index entries of this server's prefix cache, 0 to 1. */
    double confidence() {
        return confidence;
    }

    /** Number of prefix blocks that the server received and did not hold yet. */
    long insertedBlocks() {
        return insertedBlocks.get();
    }

    void addInsertedBlocks(int blocks) {
        insertedBlocks.addAndGet(blocks);
    }

    /** Estimated cache size in blocks; infinite until an eviction has been observed. */
    double cacheBlocks() {
        return cacheBlocks;
    }

    /** Updates the cache size estimate: a block was evicted after the given number of other blocks had been stored. */
    void recordEviction(long blocks) {
        double old = cacheBlocks;
        cacheBlocks = Double.isInfinite(old) ? blocks : old + CACHE_SIZE_SMOOTHING * (blocks - old);
    }

    /** Returns whether the server is in slow start because its cache is not warm yet. */
    boolean inSlowStart() {
        return inSlowStart;
    }

    /** Batch slots of the server, as inferred from load reports; unlimited until a report shows queued requests. */
    int slots() {
        return slots;
    }

    /** Returns whether a view shows the same incarnation of the server; an unknown incarnation matches any. */
    boolean matchesIncarnation(ServerView view) {
        return incarnation.isEmpty() || view.incarnation().isEmpty() || incarnation.equals(view.incarnation());
    }

    /** Updates the state from a new view. */
    void update(ServerView view) {
        if (incarnation.isEmpty()) {
            incarnation = view.incarnation();
        }
        if (view.health() == Health.LIVE && health != Health.LIVE) {
            beginSlowStart();
        }
        health = view.health();
        updateSlots(view.load().running(), view.load().queued());
    }

    private void updateSlots(int running, int queued) {
        if (queued > 0) {
            slots = Math.max(1, running);
        } else if (slots != Integer.MAX_VALUE && running > slots) {
            slots = running;
        }
    }

    /**
     * Returns the capacity factor of the server during slow start, and ends slow start when its hit rate is close to
     * that of warm servers or it has served enough requests. Elapsed time alone doesn't warm a cache and so has no
     * effect.
     */
    double slowStartFactor(double hitRate, double warmHitRate) {
        if (!inSlowStart) {
            return 1;
        }
        double servedShare = (double) succeeded.get() / SLOW_START_REQUESTS;
        double factor = warmHitRate <= 0 ? 1 : Math.max(servedShare, hitRate / warmHitRate);
        if (servedShare >= 1 || (warmHitRate > 0 && hitRate >= 0.9 * warmHitRate)) {
            inSlowStart = false;
        }
        return Math.min(1, Math.max(0.25, factor));
    }

    private void beginSlowStart() {
        succeeded.set(0);
        inSlowStart = true;
    }

    void recordFirstToken(double observedMs, double predictedMs, long nowMs) {
        double ratio = (observedMs + RATIO_OFFSET_MS) / (predictedMs + RATIO_OFFSET_MS);
        double old = latencyRatio(nowMs);
        double next = old + LATENCY_RATIO_SMOOTHING * (Math.min(ratio, MAX_LATENCY_RATIO) - old);
        observedAtMs = nowMs;
        latencyRatio = Math.min(MAX_LATENCY_RATIO, Math.max(MIN_LATENCY_RATIO, next));
    }

    void recordSuccess() {
        succeeded.incrementAndGet();
        failures.set(0);
    }

    void recordCacheGap() {
        confidence = Math.max(MIN_CACHE_CONFIDENCE, confidence * CACHE_GAP_CONFIDENCE_FACTOR);
    }

    void recordCacheEvent() {
        confidence = Math.min(1, confidence + CACHE_EVENT_CONFIDENCE_GAIN);
    }
}
