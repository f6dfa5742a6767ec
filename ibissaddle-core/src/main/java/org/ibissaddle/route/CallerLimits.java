package org.ibissaddle.route;

/**
 * Size and time limits for requests of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers in bytes
 * @param maxBodyBytes maximum size of the request body in bytes
 * @param headerTimeoutMs maximum time to send the request line and headers, in milliseconds
 * @param idleTimeoutMs maximum time without a request on an open connection, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Limits that apply until a configuration is received. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 * 1024 * 1024, 3_000, 15_000);
}
