package org.ibissaddle.backend;

/** Token bucket that limits the rate of requests. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000;

    private final double burst;
    private double tokens;
    private long refilledAtMs;

    TokenBucket(double burst, long nowMs) {
        this.burst = burst;
        this.tokens = burst;
        this.refilledAtMs = nowMs;
    }

    boolean hasToken(double perSecond, long nowMs) {
        refill(perSecond, nowMs);
        return tokens >= 1;
    }

    void consume() {
        tokens -= 1;
    }

    private void refill(double perSecond, long nowMs) {
        tokens = Math.min(burst, tokens + perSecond * (nowMs - refilledAtMs) / MS_PER_SECOND);
        refilledAtMs = nowMs;
    }
}
