package org.ibissaddle.route;

import org.ibissaddle.backend.RequestDemand;

/**
 * Limit of the requests of a workspace, over all instances together.
 *
 * @param unit what the limit counts
 * @param perSecond units per second, 0 for no limit
 * @param burst units allowed beyond the rate at once
 * @param plainTokens tokens that a request without a token count counts as
 */
public record Quota(QuotaUnit unit, long perSecond, long burst, int plainTokens) {
    /** No limit. */
    public static final Quota UNLIMITED = new Quota(QuotaUnit.REQUESTS, 0, 0, 0);

    /**
     * Returns whether there is a limit.
     *
     * @return true if the rate is above zero
     */
    public boolean isLimited() {
        return perSecond > 0;
    }

    /**
     * Returns what a request takes from the quota.
     *
     * @param demand the request
     * @return number of units
     */
    public long cost(RequestDemand demand) {
        if (unit == QuotaUnit.REQUESTS) {
            return 1;
        }
        long tokens = (long) demand.promptTokens() + demand.outputTokens();
        return tokens > 0 ? tokens : plainTokens;
    }
}
