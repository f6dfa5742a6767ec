package org.ibissaddle.quarantine;

/** How a request is run. */
public sealed interface Standing {
    /** Like any other. */
    record Free() implements Standing {}

    /**
     * Apart from other marked requests.
     *
     * @param crashes crashes during which it was in flight
     */
    record Apart(int crashes) implements Standing {}

    /**
     * Not at all.
     *
     * @param untilMs when its marks expire, epoch milliseconds
     */
    record Refused(long untilMs) implements Standing {}
}
