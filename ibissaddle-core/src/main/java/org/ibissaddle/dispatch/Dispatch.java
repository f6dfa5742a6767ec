package org.ibissaddle.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;

/**
 * Decides after each attempt whether a call is retried on another server or has ended, and with which outcome. Not
 * thread-safe.
 */
public final class Dispatch {
    private final boolean repeatable;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final Set<ServerId> tried = new HashSet<>();
    private int attempts;
    private int notRunReplies;
    private boolean mayHaveRun;
    private boolean ran;

    private Dispatch(boolean repeatable, long deadlineMs, RetryBudget budget) {
        this.repeatable = repeatable;
        this.deadlineMs = deadlineMs;
        this.budget = budget;
    }

    /**
     * Starts a call that may be executed more than once.
     *
     * @param deadlineMs deadline of the caller, epoch milliseconds
     * @param budget retry budget of its pool
     * @return the dispatch
     */
    public static Dispatch repeatable(long deadlineMs, RetryBudget budget) {
        budget.recordCall();
        return new Dispatch(true, deadlineMs, budget);
    }

    /**
     * Starts a call that may be executed more than once and that another instance has forwarded. The other instance has
     * added it to the budget of the pool.
     *
     * @param deadlineMs deadline of the caller, epoch milliseconds
     * @param budget retry budget of its pool
     * @return the dispatch
     */
    public static Dispatch forwarded(long deadlineMs, RetryBudget budget) {
        return new Dispatch(true, deadlineMs, budget);
    }

    /**
     * Starts a call that must be executed at most once.
     *
     * @param deadlineMs deadline of its ticket, epoch milliseconds
     * @param budget retry budget of its pool
     * @return the dispatch
     */
    public static Dispatch atMostOnce(long deadlineMs, RetryBudget budget) {
        budget.recordCall();
        return new Dispatch(false, deadlineMs, budget);
    }

    /**
     * Starts the first attempt.
     *
     * @return the step that selects a server
     */
    public Step first() {
        return nextAttempt();
    }

    /**
     * Decides how to proceed after the last step.
     *
     * @param result the verified result of the last step
     * @param nowMs current time, epoch milliseconds
     * @return the next step
     */
    public Step next(AttemptResult result, long nowMs) {
        return switch (result) {
            case AttemptResult.Unsent unsent -> retry(unsent.server(), unsent.refusal(), nowMs);
            case AttemptResult.ReportedNotRun notRun -> {
                notRunReplies++;
                yield retry(notRun.server(), notRun.refusal(), nowMs);
            }
            case AttemptResult.Answered answered -> new Step.Finish(new Outcome.Ran(answered.answer()));
            case AttemptResult.LostAfterWrite lost -> {
                mayHaveRun = true;
                yield retryIfRepeatable(lost.server(), lost.refusal(), nowMs);
            }
            case AttemptResult.TruncatedResponse truncated -> {
                mayHaveRun = true;
                ran = true;
                yield retryIfRepeatable(truncated.server(), truncated.refusal(), nowMs);
            }
            case AttemptResult.TruncatedRelayedResponse truncated -> {
                mayHaveRun = true;
                ran = true;
                yield fail(truncated.refusal());
            }
            case AttemptResult.NoServerAvailable none -> fail(none.refusal());
        };
    }

    private Step retryIfRepeatable(ServerId server, Refusal refusal, long nowMs) {
        return repeatable ? retry(server, refusal, nowMs) : fail(refusal);
    }

    private Step retry(ServerId server, Refusal refusal, long nowMs) {
        tried.add(server);
        if (nowMs >= deadlineMs || !budget.tryAcquire()) {
            return fail(refusal);
        }
        return nextAttempt();
    }

    private Step nextAttempt() {
        return new Step.SelectServer(attempts++, Set.copyOf(tried));
    }

    private Step fail(Refusal refusal) {
        if (ran) {
            return new Step.Finish(new Outcome.FailedAfterRunning(refusal.withExecutionStatus(ExecutionStatus.RAN)));
        }
        if (mayHaveRun) {
            return new Step.Finish(new Outcome.Unknown(refusal.withExecutionStatus(ExecutionStatus.UNKNOWN)));
        }
        NotRunProof proof =
                notRunReplies == 0 ? new NotRunProof.NothingSent() : new NotRunProof.ReportedByReceivers(notRunReplies);
        return new Step.Finish(new Outcome.NotRun(proof, refusal.withExecutionStatus(ExecutionStatus.NOT_RUN)));
    }
}
