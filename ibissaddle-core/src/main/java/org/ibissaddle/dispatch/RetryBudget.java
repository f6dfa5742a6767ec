package org.ibissaddle.dispatch;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;
import org.ibissaddle.port.Clock;

/**
 * Limits the retries or hedged requests of a pool to a fraction of its calls, so that retries do not overload a failing
 * pool. A token bucket: each call adds a fraction of a token, and each retry consumes a whole one. Thread-safe.
 */
public final class RetryBudget {
    /** One token, scaled so that fractions of a token are integers. */
    private static final long SCALED_TOKEN = 1_000_000;

    private final long refill;
    private final IntSupplier burst;
    private final Clock clock;
    /** Time in which an empty budget fills without calls; 0 if it fills by calls only. */
    private final long fillTimeMs;

    private final AtomicReference<Level> level;

    private RetryBudget(double ratio, IntSupplier burst, Clock clock, long fillTimeMs, Level initial) {
        this.refill = Math.round(ratio * SCALED_TOKEN);
        this.burst = burst;
        this.clock = clock;
        this.fillTimeMs = fillTimeMs;
        this.level = new AtomicReference<>(initial);
    }

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed per call, 0 to 1
     * @param burst maximum number of accumulated retries
     * @return the budget
     */
    public static RetryBudget of(double ratio, int burst) {
        return of(ratio, () -> burst);
    }

    /**
     * Creates a full budget whose burst varies, for example with the number of instances that share it.
     *
     * @param ratio retries allowed per call, 0 to 1
     * @param burst maximum number of accumulated retries at the time of the call
     * @return the budget
     */
    public static RetryBudget of(double ratio, IntSupplier burst) {
        int initialBurst = burst.getAsInt();
        return new RetryBudget(ratio, burst, () -> 0, 0, new Level(initialBurst * SCALED_TOKEN, initialBurst, 0, 0));
    }

    /**
     * Creates an empty budget that fills both by calls and by time. A burst that grows raises the limit of the
     * accumulated retries, but adds none.
     *
     * @param ratio retries allowed per call, 0 to 1
     * @param burst maximum number of accumulated retries at the time of the call
     * @param clock source of time
     * @param startedAtMs start time of the process, milliseconds
     * @param delayMs time after the start in which the budget fills by calls only, milliseconds
     * @param fillTimeMs time in which an empty budget fills without calls, milliseconds
     * @return the budget
     */
    public static RetryBudget filling(
            double ratio, IntSupplier burst, Clock clock, long startedAtMs, long delayMs, long fillTimeMs) {
        return new RetryBudget(ratio, burst, clock, fillTimeMs, new Level(0, burst.getAsInt(), startedAtMs, delayMs));
    }

    /** Records a call that is not a retry. */
    public void recordCall() {
        int currentBurst = burst.getAsInt();
        long nowMs = clock.nowMs();
        level.updateAndGet(previous -> {
            Level filled = fill(previous, currentBurst, nowMs);
            return filled.withTokens(Math.min(currentBurst * SCALED_TOKEN, filled.tokens + refill));
        });
    }

    /**
     * Takes a token for one retry.
     *
     * @return whether a token was available
     */
    public boolean tryAcquire() {
        int currentBurst = burst.getAsInt();
        long nowMs = clock.nowMs();
        while (true) {
            Level previous = level.get();
            Level filled = fill(previous, currentBurst, nowMs);
            boolean available = filled.tokens >= SCALED_TOKEN;
            Level next = available ? filled.withTokens(filled.tokens - SCALED_TOKEN) : filled;
            if (level.compareAndSet(previous, next)) {
                return available;
            }
        }
    }

    private Level fill(Level previous, int currentBurst, long nowMs) {
        // When the burst grew since then is unknown.
        long capacity = Math.min(previous.burst, currentBurst) * SCALED_TOKEN;
        long elapsedMs = Math.max(0, nowMs - previous.updatedAtMs);
        long delayMs = Math.max(0, previous.delayMs - elapsedMs);
        long fillingMs = Math.min(fillTimeMs, Math.max(0, elapsedMs - previous.delayMs));
        long added = fillingMs == 0 ? 0 : capacity / fillTimeMs * fillingMs;
        return new Level(Math.min(capacity, previous.tokens + added), currentBurst, nowMs, delayMs);
    }

    /**
     * State of the budget at its last use.
     *
     * @param tokens available tokens, scaled
     * @param burst maximum number of accumulated retries
     * @param updatedAtMs time of the last use, milliseconds
     * @param delayMs remaining time in which the budget fills by calls only, milliseconds
     */
    private record Level(long tokens, int burst, long updatedAtMs, long delayMs) {
        Level withTokens(long next) {
            return new Level(next, burst, updatedAtMs, delayMs);
        }
    }
}
