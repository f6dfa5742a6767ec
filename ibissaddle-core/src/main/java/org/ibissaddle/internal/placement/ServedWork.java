package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;

/** Work that a backend server of the own region does. */
final class ServedWork implements PlacementPolicy.Running {
    private final ServerState state;
    private final PoolState pool;
    private final int maxTokens;
    private final long prefill;
    private final long startedAtMs;
    private final AtomicLong decodeLeft;
    private final AtomicLong generated = new AtomicLong();
    private final AtomicBoolean prefilled = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private int failuresToEject;
    private long ejectMs;
    private int mostEjected;
    private double predictedMs;

    ServedWork(Work work, ServerState state, PoolState pool, double uncached, long nowMs) {
        this.state = state;
        this.pool = pool;
        maxTokens = work.maxTokens();
        prefill = Math.round(uncached);
        startedAtMs = nowMs;
        decodeLeft = new AtomicLong(pool.expectedOutput(work.maxTokens()));
    }

    void ejection(int failures, long ms, int most) {
        failuresToEject = failures;
        ejectMs = ms;
        mostEjected = most;
    }

    void predicted(double ms) {
        predictedMs = ms;
    }

    void begin() {
        state.own.add(prefill, decodeLeft.get(), 1, startedAtMs);
    }

    @Override
    public void firstToken(long nowMs) {
        if (prefilled.compareAndSet(false, true)) {
            state.own.add(-prefill, 0, 0, nowMs);
            state.firstToken((double) (nowMs - startedAtMs), predictedMs, nowMs);
        }
    }

    @Override
    public void generated(int tokens) {
        generated.addAndGet(tokens);
        long before = decodeLeft.getAndUpdate(left -> Math.max(0, left - tokens));
        state.own.generated(Math.min(before, tokens));
    }

    @Override
    public void ended(boolean succeeded, long nowMs) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        long prefillLeft = prefilled.compareAndSet(false, true) ? prefill : 0;
        state.own.add(-prefillLeft, -decodeLeft.getAndSet(0), -1, nowMs);
        if (succeeded) {
            state.succeeded();
            pool.generated(generated.get(), maxTokens);
        } else if (state.failures.incrementAndGet() >= failuresToEject) {
            pool.ejections.eject(state.id, nowMs, ejectMs, mostEjected);
        }
    }
}
