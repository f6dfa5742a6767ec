package org.ibissaddle.dispatch;

import org.ibissaddle.outcome.Refusal;

/** Outcomes that the owner of a ticket has told to another instance, which passes them on. */
public final class RelayedOutcome {
    private RelayedOutcome() {}

    /**
     * Passes on the owner's refusal. The owner has sealed the key before it says {@code not-run}.
     *
     * @param refusal what the owner said
     * @return the same as an outcome
     */
    public static Outcome of(Refusal refusal) {
        return switch (refusal.fate()) {
            case NOT_RUN -> new Outcome.NotRun(new NotRunProof.SaidByReceivers(1), refusal);
            case UNKNOWN -> new Outcome.Unknown(refusal);
            case RAN -> new Outcome.FailedAfterRunning(refusal);
        };
    }
}
