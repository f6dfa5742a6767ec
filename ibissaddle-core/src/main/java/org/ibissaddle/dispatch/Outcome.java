package org.ibissaddle.dispatch;

import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;

/** How a call ended. */
public sealed interface Outcome {
    /**
     * Returns whether the call was executed.
     *
     * @return the fate to report to the caller
     */
    Fate fate();

    /**
     * The call was executed and the complete response is available.
     *
     * @param answer the response
     */
    record Ran(Answer answer) implements Outcome {
        @Override
        public Fate fate() {
            return Fate.RAN;
        }
    }

    /**
     * The call was executed, but the complete response is not available.
     *
     * @param refusal the error response for the caller
     */
    record FailedAfterRunning(Refusal refusal) implements Outcome {
        /** Validates that the refusal has the matching fate. */
        public FailedAfterRunning {
            requireFate(refusal, Fate.RAN);
        }

        @Override
        public Fate fate() {
            return Fate.RAN;
        }
    }

    /**
     * The call was not executed and will not be.
     *
     * @param proof why that is certain
     * @param refusal the error response for the caller
     */
    record NotRun(NotRunProof proof, Refusal refusal) implements Outcome {
        /** Validates that the refusal has the matching fate. */
        public NotRun {
            requireFate(refusal, Fate.NOT_RUN);
        }

        @Override
        public Fate fate() {
            return Fate.NOT_RUN;
        }
    }

    /**
     * The call may have been executed, or may still be.
     *
     * @param refusal the error response for the caller
     */
    record Unknown(Refusal refusal) implements Outcome {
        /** Validates that the refusal has the matching fate. */
        public Unknown {
            requireFate(refusal, Fate.UNKNOWN);
        }

        @Override
        public Fate fate() {
            return Fate.UNKNOWN;
        }
    }

    private static void requireFate(Refusal refusal, Fate fate) {
        if (refusal.fate() != fate) {
            throw new IllegalArgumentException("refusal " + refusal.type().word() + " has fate "
                    + refusal.fate().word() + ", but this outcome requires fate " + fate.word());
        }
    }
}
