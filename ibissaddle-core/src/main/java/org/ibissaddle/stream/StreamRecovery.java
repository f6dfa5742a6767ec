package org.ibissaddle.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Decides how one answer goes on after cuts. Used by one thread at a time. */
public final class StreamRecovery {
    /** Most resumes at one engine without a new character in between. */
    static final int MAX_IDLE_RESUMES = 3;

    private final AnswerGuard guard;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final Set<ServerId> lost = new HashSet<>();
    private int idleResumes;
    private long relayedAtResume = -1;

    /**
     * Makes the decision for an answer.
     *
     * @param guard guard of the answer
     * @param deadlineMs when its caller gives up, epoch milliseconds
     * @param budget retries of the pool
     */
    public StreamRecovery(AnswerGuard guard, long deadlineMs, RetryBudget budget) {
        this.guard = guard;
        this.deadlineMs = deadlineMs;
        this.budget = budget;
    }

    /**
     * Decides after the connection to an engine was cut, while the engine may still know the stream.
     *
     * @param server the engine
     * @param nowMs current time, epoch milliseconds
     * @return how to go on
     */
    public Recovery afterCut(ServerId server, long nowMs) {
        if (guard.relayed() > relayedAtResume) {
            idleResumes = 0;
        }
        relayedAtResume = guard.relayed();
        if (nowMs >= deadlineMs) {
            return fail("the deadline passed before the answer was complete");
        }
        if (idleResumes++ >= MAX_IDLE_RESUMES) {
            return afterLoss(server, nowMs);
        }
        return new Recovery.Resume(server, guard.relayed());
    }

    /** Notes that an engine that had been silent has answered a resume: it is slow, not gone. */
    public void stillThere() {
        idleResumes = Math.max(0, idleResumes - 1);
    }

    /**
     * Decides after an engine turned out to be gone or not to know the stream any more.
     *
     * @param server the engine
     * @param nowMs current time, epoch milliseconds
     * @return how to go on
     */
    public Recovery afterLoss(ServerId server, long nowMs) {
        lost.add(server);
        idleResumes = 0;
        relayedAtResume = -1;
        if (nowMs >= deadlineMs) {
            return fail("the deadline passed before the answer was complete");
        }
        if (!budget.take()) {
            return fail("server " + server + " was lost and the retry budget of its pool is used up");
        }
        int attempt = guard.attempt() + 1;
        if (guard.relayed() == 0) {
            return new Recovery.Restart(attempt, lost);
        }
        Optional<String> text = guard.textSoFar();
        return text.isPresent()
                ? new Recovery.Continue(attempt, lost, text.get())
                : fail("server " + server + " was lost and the text so far is not kept");
    }

    private static Recovery fail(String message) {
        return new Recovery.Fail(Refusal.of(RefusalType.ANSWER_CUT, message, Fate.RAN));
    }
}
