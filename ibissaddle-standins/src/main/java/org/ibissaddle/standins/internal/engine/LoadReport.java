package org.ibissaddle.standins.internal.engine;

import java.util.List;

/**
 * The load of an engine.
 *
 * @param server the server's name
 * @param incarnation the number of its start
 * @param atMs the time that the report speaks of, in epoch milliseconds
 * @param running sequences in the batch
 * @param queued requests that wait
 * @param queuedTokens prompt tokens still to be read
 * @param decodeTokens answer tokens still to be generated
 * @param capacityTokensPerS words generated each second by a full batch
 * @param cachedTokens tokens in the prefix cache
 * @param hitRate the share of prompt tokens that the cache saved
 * @param models resident models
 * @param adapters resident adapters
 * @param role the role
 * @param draining whether new requests are refused
 * @param orderToken the highest fencing token of an accepted order
 */
public record LoadReport(
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
    public LoadReport at(long timeMs) {
        return new LoadReport(
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
