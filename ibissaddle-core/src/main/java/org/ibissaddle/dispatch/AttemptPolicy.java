package org.ibissaddle.dispatch;

/** Decides whether a request is retried, rejected or failed after a failed attempt. */
public final class AttemptPolicy {
    private AttemptPolicy() {}

    /** Whether the failed attempt may have executed the request. */
    public enum Evidence {
        /** Nothing was sent, or the server reported that it did not execute the request. */
        NOT_RUN,
        /** The request was sent; it may have been executed, or its execution failed. */
        MAY_HAVE_RUN
    }

    /** The decision. */
    public enum Next {
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
     * @param reached number of servers that may have executed it
     * @param maxAttempts maximum number of servers that may execute it
     * @param sends number of connections that it was written to
     */
    public record Progress(boolean repeatable, boolean mayHaveRun, int reached, int maxAttempts, int sends) {}

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
    public static Next next(Progress progress, Evidence evidence) {
        boolean mayHaveRun = progress.mayHaveRun() || evidence == Evidence.MAY_HAVE_RUN;
        Next whenExhausted = mayHaveRun ? Next.FAIL : Next.REFUSE;
        if (mayHaveRun && !progress.repeatable()) {
            return Next.FAIL;
        }
        boolean attemptsLeft = progress.reached() < progress.maxAttempts();
        boolean sendsLeft = progress.sends() < progress.maxAttempts() + MAX_REJECTED_SENDS;
        return attemptsLeft && sendsLeft ? Next.RETRY : whenExhausted;
    }
}
