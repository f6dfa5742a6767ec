package org.ibissaddle.port;

/** Source of time for adapters, which pass it on to decisions as {@code nowMs}. */
@FunctionalInterface
public interface Clock {
    /**
     * Returns the current time.
     *
     * @return epoch milliseconds
     */
    long nowMs();
}
