package org.ibissaddle.quarantine;

/** The quarantine status of a request, which determines how it is run. */
public sealed interface Standing {
    /** The request is not quarantined. */
    record Free() implements Standing {}

    /**
     * The request runs isolated from other marked requests.
     *
     * @param crashes number of crashes counted against it
     */
    record Apart(int crashes) implements Standing {}

    /**
     * The request is refused.
     *
     * @param untilMs time at which its marks expire, epoch milliseconds
     */
    record Refused(long untilMs) implements Standing {}
}
