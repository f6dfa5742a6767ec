package org.ibissaddle.dispatch;

import org.ibissaddle.outcome.Refusal;

/** Converts refusals received from the owner of a ticket to outcomes that this instance relays. */
public final class RelayedOutcome {
    private RelayedOutcome() {}

    /**
     * Converts a refusal of the owner. The owner seals the key before it reports {@code not-run}, so the proof holds
     * here too.
     *
     * @param refusal refusal of the owner
     * @return the equivalent outcome
     */
    public static Outcome of(Refusal refusal) {
        return switch (refusal.executionStatus()) {
            case NOT_RUN -> new Outcome.NotRun(new NotRunProof.ReportedByReceivers(1), refusal);
            case UNKNOWN -> new Outcome.Unknown(refusal);
            case RAN -> new Outcome.FailedAfterRunning(refusal);
        };
    }
}
