package org.ibissaddle.standins;

import java.util.List;
import java.util.Map;

/**
 * What an engine stand-in has done since it was created, over all its incarnations.
 *
 * @param requests completion requests that were accepted
 * @param finished requests whose answer was generated to the end
 * @param prefilledTokens prompt tokens read without the cache
 * @param hitTokens prompt tokens found in the cache
 * @param decodedTokens answer tokens generated
 * @param cancels requests cancelled
 * @param crashes crashes
 * @param orders orders applied, oldest first
 * @param seen how often each request id was accepted
 */
public record EngineStats(
        long requests,
        long finished,
        long prefilledTokens,
        long hitTokens,
        long decodedTokens,
        long cancels,
        long crashes,
        List<EngineOrder> orders,
        Map<String, Integer> seen) {}
