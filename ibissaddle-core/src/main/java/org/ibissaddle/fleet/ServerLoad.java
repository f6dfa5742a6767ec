package org.ibissaddle.fleet;

/**
 * Load reported by a backend server.
 *
 * @param reportedAtMs when the server measured it, epoch milliseconds
 * @param running number of requests in the running batch
 * @param queued number of requests queued at the server
 * @param queuedTokens number of uncached prompt tokens in the queue
 * @param decodeTokens number of tokens still to be generated
 * @param capacityTokensPerSecond throughput of the server, in tokens per second
 * @param hitRate recent prefix cache hit rate by prompt tokens, from 0 to 1
 */
public record ServerLoad(
        long reportedAtMs,
        int running,
        int queued,
        long queuedTokens,
        long decodeTokens,
        double capacityTokensPerSecond,
        double hitRate) {
    /** Placeholder for a server that has not reported any load yet. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0, 0, 0, 0, 0);
}
