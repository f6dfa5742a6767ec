package org.ibissaddle.quarantine;

/**
 * A prompt part whose requests are refused.
 *
 * @param part id of the part
 * @param crashes number of known crashes at which it was in flight
 * @param untilMs time at which the next request with the part may be sent, in milliseconds of the local clock
 */
public record RefusedPart(String part, int crashes, long untilMs) {}
