package org.ibissaddle.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;

/**
 * Decides after each attempt whether a call is tried elsewhere or is over, and with which outcome. Used by one thread
 * at a time.
 */
public final class Dispatch {
    private final boolean repeatable;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final Set<ServerId> tried = new HashSet<>();
    private int attempts;
    private int refusedByReceivers;
    private boolean maybeRan;
    private boolean ran;

    private Dispatch(boolean repeatable, long deadlineMs, RetryBudget budget) {
        this.repeatable = repeatable;
        this.deadlineMs = deadlineMs;
        this.budget = budget;
    }

    /**
     * Starts a call that may run more than once.
     *
     * @param deadlineMs when its caller gives up, epoch milliseconds
     * @param budget retries of its pool
     * @return the dispatch
     */
    public static Dispatch repeatable(long deadlineMs, RetryBudget budget) {
        budget.called();
        return new Dispatch(true, deadlineMs, budget);
    }

    /**
     * Starts a call that may run at most once.
     *
     * @param deadlineMs deadline of its ticket, epoch milliseconds
     * @param budget retries of its pool
     * @return the dispatch
     */
    public static Dispatch once(long deadlineMs, RetryBudget budget) {
        budget.called();
        return new Dispatch(false, deadlineMs, budget);
    }

    /**
     * Returns the first step.
     *
     * @return the first attempt
     */
    public Step first() {
        return place();
    }

    /**
     * Decides what follows.
     *
     * @param evidence what is certain after the last step
     * @param nowMs current time, epoch milliseconds
     * @return the next step
     */
    public Step next(Evidence evidence, long nowMs) {
        return switch (evidence) {
            case Evidence.NothingHanded nothing -> retry(nothing.server(), nothing.refusal(), nowMs);
            case Evidence.SaidNotRun said -> {
                refusedByReceivers++;
                yield retry(said.server(), said.refusal(), nowMs);
            }
            case Evidence.Answered answered -> new Step.Finish(new Outcome.Ran(answered.answer()));
            case Evidence.LostAfterWrite lost -> {
                maybeRan = true;
                yield repeatOrGiveUp(lost.server(), lost.refusal(), nowMs);
            }
            case Evidence.CutAnswer cut -> {
                maybeRan = true;
                ran = true;
                yield repeatOrGiveUp(cut.server(), cut.refusal(), nowMs);
            }
            case Evidence.CutRelayed cut -> {
                maybeRan = true;
                ran = true;
                yield giveUp(cut.refusal());
            }
            case Evidence.NoPlace none -> giveUp(none.refusal());
        };
    }

    private Step repeatOrGiveUp(ServerId server, Refusal refusal, long nowMs) {
        return repeatable ? retry(server, refusal, nowMs) : giveUp(refusal);
    }

    private Step retry(ServerId server, Refusal refusal, long nowMs) {
        tried.add(server);
        if (nowMs >= deadlineMs || !budget.take()) {
            return giveUp(refusal);
        }
        return place();
    }

    private Step place() {
        return new Step.Place(attempts++, Set.copyOf(tried));
    }

    private Step giveUp(Refusal refusal) {
        if (ran) {
            return new Step.Finish(new Outcome.FailedAfterRunning(refusal.withFate(Fate.RAN)));
        }
        if (maybeRan) {
            return new Step.Finish(new Outcome.Unknown(refusal.withFate(Fate.UNKNOWN)));
        }
        NotRunProof proof = refusedByReceivers == 0
                ? new NotRunProof.NothingHanded()
                : new NotRunProof.SaidByReceivers(refusedByReceivers);
        return new Step.Finish(new Outcome.NotRun(proof, refusal.withFate(Fate.NOT_RUN)));
    }
}
