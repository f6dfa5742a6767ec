package org.ibissaddle.daemon.caller;

/**
 * A request whose body has arrived whole.
 *
 * @param head start line and header fields
 * @param body the body; held once, not copied, not to be changed
 * @param arrivedAtMs when its head arrived, epoch milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(RequestHead head, byte[] body, long arrivedAtMs) {}
