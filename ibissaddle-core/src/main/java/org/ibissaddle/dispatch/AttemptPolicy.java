package org.ibissaddle.dispatch;

/** Decides whether a request is retried, rejected or failed after a failed attempt. */
public final class AttemptPolicy {
    private AttemptPolicy() {}

    /** Whether the failed attempt may have executed the request. */
    public enum ExecutionEvidence {
        /** Nothing was sent, or the server reported that it did not execute the request. */
        NOT_RUN,
        /** The request was sent; it may have been executed, or its execution failed. */
        MAY_HAVE_RUN
    }

    /** The decision. */
    public enum RetryDecision {
        /** Send the request to another server. */
        RETRY,
        /** Respond that the request was not executed. */
        REFUSE,
        /** Respond that the request failed. */
        FAIL
    }

    /**
     * State of a request after its latest attempt.
     *
     * @param repeatable whether it may be executed more than once
     * @param mayHaveRun whether an earlier attempt may have executed it
     * @param possibleExecutions number of servers that may have executed it
     * @param maxAttempts maximum number of servers that may execute it
     * @param sends number of connections that it was written to
     */
    public record AttemptProgress(
            boolean repeatable, boolean mayHaveRun, int possibleExecutions, int maxAttempts, int sends) {}

    /**
     * Extra sends allowed for one request after servers rejected it; bounds retry amplification when many servers
     * reject.
     */
    private static final int MAX_REJECTED_SENDS = 3;

    /**
     * Decides what to do after a failed attempt.
     *
     * @param progress state of the request, including the failed attempt
     * @param evidence whether that attempt may have executed the request
     * @return the decision; a retry is still subject to the retry budget and the deadline
     */
    public static RetryDecision decide(AttemptProgress progress, ExecutionEvidence evidence) {
        boolean mayHaveRun = progress.mayHaveRun() || evidence == ExecutionEvidence.MAY_HAVE_RUN;
        RetryDecision whenExhausted = mayHaveRun ? RetryDecision.FAIL : RetryDecision.REFUSE;
        if (mayHaveRun && !progress.repeatable()) {
            return RetryDecision.FAIL;
        }
        boolean attemptsLeft = progress.possibleExecutions() < progress.maxAttempts();
        boolean sendsLeft = progress.sends() < progress.maxAttempts() + MAX_REJECTED_SENDS;
        return attemptsLeft && sendsLeft ? RetryDecision.RETRY : whenExhausted;
    }
}
