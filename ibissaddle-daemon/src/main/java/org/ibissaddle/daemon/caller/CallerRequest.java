package org.ibissaddle.daemon.caller;

/**
 * A request with its complete body.
 *
 * @param head request line and header fields
 * @param body the body; not copied, so it must not be modified
 * @param arrivedAtMs arrival time of the request head in epoch milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(RequestHead head, byte[] body, long arrivedAtMs) {}
