package org.ibissaddle.quota;

/** Decision on one request of a workspace with a quota. */
public sealed interface QuotaDecision {
    /** The request is charged and may run. */
    record Admitted() implements QuotaDecision {}

    /**
     * The request waits for an answer of the issuer.
     *
     * @param untilMs time at which the wait ends at the latest, milliseconds
     */
    record Wait(long untilMs) implements QuotaDecision {}

    /**
     * The request is over the quota and has not run.
     *
     * @param retryAtMs time at which the caller should retry, milliseconds
     */
    record Rejected(long retryAtMs) implements QuotaDecision {}
}
