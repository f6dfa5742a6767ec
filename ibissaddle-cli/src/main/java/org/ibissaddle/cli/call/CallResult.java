package org.ibissaddle.cli.call;

import java.util.Optional;

/**
 * Result of one call, which may be a response or a failed connection.
 *
 * @param status HTTP status code, 0 when the connection failed
 * @param text text of the response, or the message of the error
 * @param complete whether the response is complete; a stream must end with its end marker
 * @param errorType type of the error, empty when the call succeeded
 * @param executionStatus whether the request was executed, as reported by the gateway
 * @param instance instance that served the request
 * @param server backend server that produced the response
 * @param firstChunkNanos when the first chunk arrived, on the clock of {@link System#nanoTime()}
 * @param endNanos when the response ended, on the clock of {@link System#nanoTime()}
 */
public record CallResult(
        int status,
        String text,
        boolean complete,
        Optional<String> errorType,
        String executionStatus,
        Optional<String> instance,
        Optional<String> server,
        long firstChunkNanos,
        long endNanos) {}
