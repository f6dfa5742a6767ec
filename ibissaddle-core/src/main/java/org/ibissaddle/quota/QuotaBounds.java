package org.ibissaddle.quota;

import org.ibissaddle.route.Quota;

/**
 * Bound of what the servers may receive from a workspace in any window: (rate x window + burst) x (1 + excess) + slack.
 *
 * @param windowMs length of the window, milliseconds
 * @param excess fraction above the quota that is tolerated
 * @param slack units tolerated beyond that, in the unit of the quota
 */
public record QuotaBounds(long windowMs, double excess, double slack) {
    /** Bounds of a platform that states none. */
    public static final QuotaBounds DEFAULT = new QuotaBounds(8_000, 0.25, 0);

    private static final double MS_PER_SECOND = 1_000;

    /** Part of the slack that deepens the bucket, so that one long request after another is not rejected. */
    private static final double DEPTH_PART_OF_SLACK = 0.5;
    /** Minimum depth as a time at the full rate, for quotas that state no burst, seconds. */
    private static final double MIN_DEPTH_S = 0.25;
    /**
     * Part of the tolerated excess that requests larger than the level of the bucket may overdraw. With the allowance
     * (twice 0.2 in a window) it leaves 0.4 for tokens that are spent in a later window than they were issued.
     */
    private static final double OVERDRAFT_PART = 0.1;
    /** Part of the tolerated excess that instances without an issuer may spend at once, and again in each window. */
    private static final double ALLOWANCE_PART = 0.15;

    /**
     * Returns the bound of a quota.
     *
     * @param quota the quota
     * @return units in any window
     */
    public double limit(Quota quota) {
        return nominal(quota) + tolerated(quota);
    }

    /** Returns the units that the bound tolerates above the quota in a window. */
    private double tolerated(Quota quota) {
        return nominal(quota) * excess + slack;
    }

    private double nominal(Quota quota) {
        return quota.perSecond() * (windowMs / MS_PER_SECOND) + quota.burst();
    }

    /** Returns the depth of the bucket of the whole deployment. */
    double depth(Quota quota) {
        double extra = Math.min(slack * DEPTH_PART_OF_SLACK, 2.0 * quota.burst());
        return Math.max(quota.burst() + extra, quota.perSecond() * MIN_DEPTH_S);
    }

    /** Returns how far requests may overdraw the bucket of the whole deployment. */
    double overdraft(Quota quota) {
        return tolerated(quota) * OVERDRAFT_PART;
    }

    /** Returns what all instances together may spend without an issuer in one window. */
    double allowance(Quota quota) {
        return tolerated(quota) * ALLOWANCE_PART;
    }
}
