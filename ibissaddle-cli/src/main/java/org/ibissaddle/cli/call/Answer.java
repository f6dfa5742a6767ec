package org.ibissaddle.cli.call;

import java.util.Optional;

/**
 * What a caller got for one request.
 *
 * @param status HTTP status code, 0 when the connection failed
 * @param text the answer's text, or the error's message
 * @param complete whether the answer has its end mark
 * @param refusal type of the refusal or failure, empty when there was none
 * @param ran whether the request ran, as the gateway told
 * @param instance instance that served it
 * @param server backend server that gave the answer
 * @param firstNanos when the first piece came, in the time of {@link System#nanoTime()}
 * @param endNanos when the answer ended, in the time of {@link System#nanoTime()}
 */
public record Answer(
        int status,
        String text,
        boolean complete,
        Optional<String> refusal,
        String ran,
        Optional<String> instance,
        Optional<String> server,
        long firstNanos,
        long endNanos) {}
