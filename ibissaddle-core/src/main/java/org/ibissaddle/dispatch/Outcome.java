package org.ibissaddle.dispatch;

import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;

/** How a call ended. */
public sealed interface Outcome {
    /**
     * Returns whether the call ran.
     *
     * @return the fate to tell the caller
     */
    Fate fate();

    /**
     * It ran and the whole answer is here.
     *
     * @param answer the answer
     */
    record Ran(Answer answer) implements Outcome {
        @Override
        public Fate fate() {
            return Fate.RAN;
        }
    }

    /**
     * It ran, but the whole answer is not to be had.
     *
     * @param refusal what the caller is told
     */
    record FailedAfterRunning(Refusal refusal) implements Outcome {
        /** Checks the fate. */
        public FailedAfterRunning {
            requireFate(refusal, Fate.RAN);
        }

        @Override
        public Fate fate() {
            return Fate.RAN;
        }
    }

    /**
     * It was not run and will not be.
     *
     * @param proof why that is certain
     * @param refusal what the caller is told
     */
    record NotRun(NotRunProof proof, Refusal refusal) implements Outcome {
        /** Checks the fate. */
        public NotRun {
            requireFate(refusal, Fate.NOT_RUN);
        }

        @Override
        public Fate fate() {
            return Fate.NOT_RUN;
        }
    }

    /**
     * It may have run or may still run.
     *
     * @param refusal what the caller is told
     */
    record Unknown(Refusal refusal) implements Outcome {
        /** Checks the fate. */
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
            throw new IllegalArgumentException("refusal " + refusal.type().word() + " says "
                    + refusal.fate().word() + "; an outcome of this kind must say " + fate.word());
        }
    }
}
