package org.ibissaddle.dispatch;

import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;

/** How a call ended. */
public sealed interface Outcome {
    /**
     * Returns whether the call was executed.
     *
     * @return the execution status to report to the caller
     */
    ExecutionStatus executionStatus();

    /**
     * The call was executed and the complete response is available.
     *
     * @param answer the response
     */
    record Ran(Answer answer) implements Outcome {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.RAN;
        }
    }

    /**
     * The call was executed, but the complete response is not available.
     *
     * @param refusal the error response for the caller
     */
    record FailedAfterRunning(Refusal refusal) implements Outcome {
        /** Validates that the refusal has the matching execution status. */
        public FailedAfterRunning {
            requireStatus(refusal, ExecutionStatus.RAN);
        }

        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.RAN;
        }
    }

    /**
     * The call was not executed and will not be.
     *
     * @param proof why that is certain
     * @param refusal the error response for the caller
     */
    record NotRun(NotRunProof proof, Refusal refusal) implements Outcome {
        /** Validates that the refusal has the matching execution status. */
        public NotRun {
            requireStatus(refusal, ExecutionStatus.NOT_RUN);
        }

        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.NOT_RUN;
        }
    }

    /**
     * The call may have been executed, or may still be.
     *
     * @param refusal the error response for the caller
     */
    record Unknown(Refusal refusal) implements Outcome {
        /** Validates that the refusal has the matching execution status. */
        public Unknown {
            requireStatus(refusal, ExecutionStatus.UNKNOWN);
        }

        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.UNKNOWN;
        }
    }

    private static void requireStatus(Refusal refusal, ExecutionStatus expected) {
        if (refusal.executionStatus() != expected) {
            throw new IllegalArgumentException("refusal " + refusal.type().wireName() + " has execution status "
                    + refusal.executionStatus().wireName() + ", but this outcome requires " + expected.wireName());
        }
    }
}
