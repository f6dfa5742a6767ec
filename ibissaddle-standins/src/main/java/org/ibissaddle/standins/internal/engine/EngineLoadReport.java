package org.ibissaddle.standins.internal.engine;

import java.util.List;

/**
 * The load of an engine.
 *
 * @param server the server name
 * @param incarnation the incarnation number of the server
 * @param atMs the time of the reported load, in epoch milliseconds
 * @param running the number of sequences in the batch
 * @param queued the number of queued requests
 * @param queuedTokens the number of prompt tokens left to prefill
 * @param decodeTokens the approximate number of answer tokens left to decode
 * @param capacityTokensPerS the number of words that a full batch decodes per second
 * @param cachedTokens the number of tokens in the prefix cache
 * @param hitRate the share of prompt tokens that were served from the cache
 * @param models the resident models
 * @param adapters the resident adapters
 * @param role the role of the engine
 * @param draining whether new requests are rejected
 * @param orderToken the highest fencing token of an accepted order
 */
public record EngineLoadReport(
        String server,
        long incarnation,
        long atMs,
        int running,
        int queued,
        int queuedTokens,
        int decodeTokens,
        double capacityTokensPerS,
        int cachedTokens,
        double hitRate,
        List<String> models,
        List<String> adapters,
        String role,
        boolean draining,
        long orderToken) {

    /** Returns this report with another time. */
    public EngineLoadReport at(long timeMs) {
        return new EngineLoadReport(
                server,
                incarnation,
                timeMs,
                running,
                queued,
                queuedTokens,
                decodeTokens,
                capacityTokensPerS,
                cachedTokens,
                hitRate,
                models,
                adapters,
                role,
                draining,
                orderToken);
    }
}
