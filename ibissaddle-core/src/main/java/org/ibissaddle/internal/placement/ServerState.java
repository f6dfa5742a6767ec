package org.ibissaddle.internal.placement;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.ServerId;

/** What an instance has learnt of one life of a backend server by its own dispatches. */
final class ServerState {
    private static final double SLOWNESS_WEIGHT = 0.1;
    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 4;
    private static final double MIN_EXPECTED_MS = 20;
    private static final double CONFIDENCE_LOSS = 0.5;
    private static final double CONFIDENCE_GAIN = 0.02;
    private static final double MIN_CONFIDENCE = 0.1;
    private static final double CACHE_WEIGHT = 0.02;
    private static final int RAMP_REQUESTS = 100;

    final ServerId id;
    final PoolId pool;
    final int number;
    final OwnWork own = new OwnWork();
    final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger succeeded = new AtomicInteger();
    private volatile Optional<Incarnation> incarnation;
    private volatile Health health = Health.LIVE;
    private final AtomicLong insertedBlocks = new AtomicLong();
    private volatile double cacheBlocks = Double.POSITIVE_INFINITY;
    private volatile double slowness = 1;
    private volatile double confidence = 1;
    private volatile boolean ramping = true;
    private volatile int slots = Integer.MAX_VALUE;

    ServerState(ServerId id, PoolId pool, Optional<Incarnation> incarnation, int number) {
        this.id = id;
        this.pool = pool;
        this.incarnation = incarnation;
        this.number = number;
    }

    /** Observed time to the first token over the predicted one. */
    double slowness() {
        return slowness;
    }

    /** How far the believed content of its cache is trusted, 0 to 1. */
    double confidence() {
        return confidence;
    }

    /** Prefix blocks that it was given and did not hold. */
    long insertedBlocks() {
        return insertedBlocks.get();
    }

    void inserted(int blocks) {
        insertedBlocks.addAndGet(blocks);
    }

    /** Blocks that it stores before one that is not used is evicted; infinite until it was seen to evict. */
    double cacheBlocks() {
        return cacheBlocks;
    }

    /** Learns that a block was evicted after so many others had been stored. */
    void evictedAfter(long blocks) {
        double old = cacheBlocks;
        cacheBlocks = Double.isInfinite(old) ? blocks : old + CACHE_WEIGHT * (blocks - old);
    }

    /** Whether its cache is not yet as warm as those of the others. */
    boolean ramping() {
        return ramping;
    }

    /** Places in its batch, as far as reports have shown. */
    int slots() {
        return slots;
    }

    /** Tells whether a view shows the same life of the server; one never heard from may be any. */
    boolean isLifeOf(ServerView view) {
        return incarnation.isEmpty() || view.incarnation().isEmpty() || incarnation.equals(view.incarnation());
    }

    /** Learns from a new view. */
    void seen(ServerView view) {
        if (incarnation.isEmpty()) {
            incarnation = view.incarnation();
        }
        if (view.health() == Health.LIVE && health != Health.LIVE) {
            startRamp();
        }
        health = view.health();
        reported(view.load().running(), view.load().queued());
    }

    private void reported(int running, int queued) {
        if (queued > 0) {
            slots = Math.max(1, running);
        } else if (slots != Integer.MAX_VALUE && running > slots) {
            slots = running;
        }
    }

    /** Ends the slow start when the observed hit rate has come near that of the others. */
    double ramp(double hitRate, double usualHitRate) {
        if (!ramping) {
            return 1;
        }
        double served = (double) succeeded.get() / RAMP_REQUESTS;
        double factor = usualHitRate <= 0 ? 1 : Math.max(served, hitRate / usualHitRate);
        if (served >= 1 || (usualHitRate > 0 && hitRate >= 0.9 * usualHitRate)) {
            ramping = false;
        }
        return Math.min(1, Math.max(0.25, factor));
    }

    private void startRamp() {
        succeeded.set(0);
        ramping = true;
    }

    void firstToken(double observedMs, double predictedMs) {
        double ratio = (observedMs + MIN_EXPECTED_MS) / (predictedMs + MIN_EXPECTED_MS);
        double next = slowness + SLOWNESS_WEIGHT * (Math.min(ratio, MAX_SLOWNESS) - slowness);
        slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, next));
    }

    void succeeded() {
        succeeded.incrementAndGet();
        failures.set(0);
    }

    void cacheGap() {
        confidence = Math.max(MIN_CONFIDENCE, confidence * CONFIDENCE_LOSS);
    }

    void cacheEvent() {
        confidence = Math.min(1, confidence + CONFIDENCE_GAIN);
    }
}
