package org.ibissaddle.note;

/**
 * Limits on sending requests to other regions (spillover).
 *
 * @param enabled whether requests of workspaces without a home region may be sent to another region
 * @param maxShare maximum share of a region's requests that may be sent to other regions, 0 to 1
 * @param startAbove load above which spillover starts, as the ratio of predicted wait to deadline
 * @param stopBelow load below which spillover stops
 * @param remoteReserve share of a region's capacity reserved for its own callers, 0 to 1
 * @param linkShare share of a link's capacity that spillover traffic may use, 0 to 1
 */
public record SpillRules(
        boolean enabled,
        double maxShare,
        double startAbove,
        double stopBelow,
        double remoteReserve,
        double linkShare) {}
