package org.ibissaddle.standins;

import java.util.Map;

/**
 * What a platform stand-in has done so far.
 *
 * @param readsLastSecond reads in the last second
 * @param maxReadsPerSecond the most reads in any second
 * @param refusedReads reads refused over the budget
 * @param reads how often each name was read; {@code /instances} and {@code /directory} count under their paths
 * @param weightDownloads how often each {@code model/version} was downloaded
 */
public record PlatformStats(
        int readsLastSecond,
        int maxReadsPerSecond,
        long refusedReads,
        Map<String, Integer> reads,
        Map<String, Integer> weightDownloads) {}
