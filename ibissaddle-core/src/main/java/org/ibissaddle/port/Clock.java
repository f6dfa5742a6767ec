package org.ibissaddle.port;

/** Source of time for adapters. Decision code receives the time as a {@code nowMs} parameter. */
@FunctionalInterface
public interface Clock {
    /**
     * Returns the current time.
     *
     * @return milliseconds since the epoch
     */
    long nowMs();
}
