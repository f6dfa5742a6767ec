package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;

/** Handle for a request that a backend server of the local region serves. */
final class ServedWork implements PlacementPolicy.DispatchHandle {
    private final ServerState state;
    private final PoolState pool;
    private final int maxTokens;
    private final long prefillTokens;
    private final long startedAtMs;
    private final AtomicLong remainingDecodeTokens;
    private final AtomicLong generated = new AtomicLong();
    private final AtomicBoolean prefillFinished = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private int failuresToEject;
    private long ejectMs;
    private int maxEjected;
    private double predictedFirstTokenMs;

    ServedWork(PlacementRequest request, ServerState state, PoolState pool, double uncached, long nowMs) {
        this.state = state;
        this.pool = pool;
        maxTokens = request.maxTokens();
        prefillTokens = Math.round(uncached);
        startedAtMs = nowMs;
        remainingDecodeTokens = new AtomicLong(pool.expectedOutput(request.maxTokens()));
    }

    void setEjection(int failures, long ms, int max) {
        failuresToEject = failures;
        ejectMs = ms;
        maxEjected = max;
    }

    void setPredictedFirstTokenMs(double ms) {
        predictedFirstTokenMs = ms;
    }

    void begin() {
        state.outstanding.add(prefillTokens, remainingDecodeTokens.get(), 1, startedAtMs);
    }

    @Override
    public void firstToken(long nowMs) {
        if (prefillFinished.compareAndSet(false, true)) {
            state.outstanding.add(-prefillTokens, 0, 0, nowMs);
            state.recordFirstToken((double) (nowMs - startedAtMs), predictedFirstTokenMs, nowMs);
        }
    }

    @Override
    public void generated(int tokens) {
        generated.addAndGet(tokens);
        long before = remainingDecodeTokens.getAndUpdate(left -> Math.max(0, left - tokens));
        state.outstanding.generated(Math.min(before, tokens));
    }

    @Override
    public void completed(boolean succeeded, long nowMs) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        long unfinishedPrefillTokens = prefillFinished.compareAndSet(false, true) ? prefillTokens : 0;
        state.outstanding.add(-unfinishedPrefillTokens, -remainingDecodeTokens.getAndSet(0), -1, nowMs);
        if (succeeded) {
            state.recordSuccess();
            pool.recordOutput(generated.get(), maxTokens);
        } else if (state.failures.incrementAndGet() >= failuresToEject) {
            pool.ejections.eject(state.id, nowMs, ejectMs, maxEjected);
        }
    }
}
