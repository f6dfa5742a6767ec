package org.ibissaddle.standins;

import java.util.Map;

/**
 * Read and download counts of a platform stand-in.
 *
 * @param readsLastSecond the number of reads in the last second
 * @param maxReadsPerSecond the maximum number of reads within one second
 * @param refusedReads the number of reads rejected because the budget was exhausted
 * @param reads the number of reads by name; {@code /instances} and {@code /directory} are counted under their paths
 * @param weightDownloads the number of downloads by {@code model/version}
 */
public record PlatformStats(
        int readsLastSecond,
        int maxReadsPerSecond,
        long refusedReads,
        Map<String, Integer> reads,
        Map<String, Integer> weightDownloads) {}
