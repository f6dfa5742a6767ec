package org.ibissaddle.quota;

import java.util.random.RandomGenerator;

/**
 * Tokens that the local instance may spend without an issuer. A request that costs more than is left is admitted with
 * the probability of the quotient, and uses up the rest either way: the share of one instance of a large deployment is
 * less than one long request, and requests can't be divided.
 */
final class Allowance {
    private double tokens = Double.MAX_VALUE;
    private long updatedMs;

    boolean trySpend(long cost, double perWindow, long windowMs, RandomGenerator random, long nowMs) {
        tokens = Math.min(perWindow, tokens + perWindow * (nowMs - updatedMs) / windowMs);
        updatedMs = nowMs;
        if (cost <= tokens) {
            tokens -= cost;
            return true;
        }
        boolean admitted = random.nextDouble() * cost < tokens;
        tokens = 0;
        return admitted;
    }
}
