package org.ibissaddle.note;

/**
 * How far work may move between regions.
 *
 * @param enabled whether unbound work may leave its region at all
 * @param maxShare greatest share of a region's requests sent away, 0 to 1
 * @param startAbove load, as predicted wait over deadline, above which sending away starts
 * @param stopBelow load below which it stops
 * @param remoteReserve share of a region's capacity kept for its own callers, 0 to 1
 * @param linkShare share of a link's capacity that sent-away work may use, 0 to 1
 */
public record SpillRules(
        boolean enabled,
        double maxShare,
        double startAbove,
        double stopBelow,
        double remoteReserve,
        double linkShare) {}
