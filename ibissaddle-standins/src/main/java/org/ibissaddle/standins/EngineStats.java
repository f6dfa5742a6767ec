package org.ibissaddle.standins;

import java.util.List;
import java.util.Map;

/**
 * Activity counters of an engine stand-in since its creation, over all its incarnations.
 *
 * @param requests the number of accepted completion requests
 * @param finished the number of completely generated answers
 * @param prefilledTokens the number of prompt tokens that were prefilled
 * @param hitTokens the number of prompt tokens that were served from the cache
 * @param decodedTokens the number of decoded words
 * @param cancels the number of cancelled requests
 * @param crashes the number of crashes
 * @param orders the applied orders, oldest first
 * @param seen the number of accepted requests by request id
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
