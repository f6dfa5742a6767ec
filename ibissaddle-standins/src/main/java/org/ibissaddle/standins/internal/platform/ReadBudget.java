package org.ibissaddle.standins.internal.platform;

/** Token bucket that limits the read rate; its capacity is the budget of one second. */
public final class ReadBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens = -1;
    private long refilledAtNanos;

    /**
     * Consumes one read from the budget.
     *
     * @return whether the budget allowed the read
     */
    public boolean tryConsume(long nowNanos, int perSecond) {
        refill(nowNanos, perSecond);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(long nowNanos, int perSecond) {
        double added = tokens < 0 ? perSecond : (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * perSecond;
        tokens = Math.min(perSecond, Math.max(0, tokens) + added);
        refilledAtNanos = nowNanos;
    }
}
