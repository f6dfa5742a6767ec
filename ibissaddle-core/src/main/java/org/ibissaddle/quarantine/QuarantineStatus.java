package org.ibissaddle.quarantine;

/** The quarantine status of a request, which determines how it is run. */
public sealed interface QuarantineStatus {
    /** The request is not quarantined. */
    record NotQuarantined() implements QuarantineStatus {}

    /**
     * The request runs isolated from other marked requests.
     *
     * @param crashes number of crashes counted against it
     */
    record Isolated(int crashes) implements QuarantineStatus {}

    /**
     * The request is refused.
     *
     * @param untilMs time at which its marks expire, epoch milliseconds
     */
    record Refused(long untilMs) implements QuarantineStatus {}
}
