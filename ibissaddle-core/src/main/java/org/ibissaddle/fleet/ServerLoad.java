package org.ibissaddle.fleet;

/**
 * A load report of a backend server.
 *
 * @param reportedAtMs when the server measured it, epoch milliseconds
 * @param running requests in the running batch
 * @param queued requests waiting at the server
 * @param queuedTokens uncached prompt tokens waiting
 * @param decodeTokens tokens still to generate
 * @param capacityTokensPerSecond speed of the server, tokens per second
 * @param hitRate share of prompt tokens found in its prefix cache lately, 0 to 1
 */
public record ServerLoad(
        long reportedAtMs,
        int running,
        int queued,
        long queuedTokens,
        long decodeTokens,
        double capacityTokensPerSecond,
        double hitRate) {
    /** A report of a server that has not reported yet. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0, 0, 0, 0, 0);
}
