package org.ibissaddle.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Decides how to recover one streamed response after its connection was lost. Not thread-safe. */
public final class StreamRecovery {
    /** Maximum number of consecutive resumes at one engine without any new text. */
    static final int MAX_RESUMES_WITHOUT_PROGRESS = 3;

    private final AnswerGuard guard;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final Set<ServerId> lostServers = new HashSet<>();
    private int resumesWithoutProgress;
    private long relayedAtLastCut = -1;

    /**
     * Creates the recovery of a response.
     *
     * @param guard guard of the response
     * @param deadlineMs deadline of the caller in epoch milliseconds
     * @param budget retry budget of the server pool
     */
    public StreamRecovery(AnswerGuard guard, long deadlineMs, RetryBudget budget) {
        this.guard = guard;
        this.deadlineMs = deadlineMs;
        this.budget = budget;
    }

    /**
     * Decides how to continue after the connection to an engine was lost, while the engine may still have the stream.
     *
     * @param server the engine
     * @param nowMs current time in epoch milliseconds
     * @return the action to take
     */
    public Recovery afterCut(ServerId server, long nowMs) {
        if (guard.relayed() > relayedAtLastCut) {
            resumesWithoutProgress = 0;
        }
        relayedAtLastCut = guard.relayed();
        if (nowMs >= deadlineMs) {
            return fail("the deadline passed before the answer was complete");
        }
        if (resumesWithoutProgress++ >= MAX_RESUMES_WITHOUT_PROGRESS) {
            return afterLoss(server, nowMs);
        }
        return new Recovery.Resume(server, guard.relayed());
    }

    /**
     * Records that an engine responded to a resume after a period without events. The engine is slow, not unavailable,
     * so this resume does not count towards the limit.
     */
    public void stillThere() {
        resumesWithoutProgress = Math.max(0, resumesWithoutProgress - 1);
    }

    /**
     * Decides how to continue after an engine became unavailable or no longer has the stream.
     *
     * @param server the engine
     * @param nowMs current time in epoch milliseconds
     * @return the action to take
     */
    public Recovery afterLoss(ServerId server, long nowMs) {
        lostServers.add(server);
        resumesWithoutProgress = 0;
        relayedAtLastCut = -1;
        if (nowMs >= deadlineMs) {
            return fail("the deadline passed before the answer was complete");
        }
        if (!budget.take()) {
            return fail("server " + server + " was lost and the retry budget of its pool is used up");
        }
        int attempt = guard.attempt() + 1;
        if (guard.relayed() == 0) {
            return new Recovery.Restart(attempt, lostServers);
        }
        Optional<String> text = guard.relayedText();
        return text.isPresent()
                ? new Recovery.Continue(attempt, lostServers, text.get())
                : fail("server " + server + " was lost and the text so far is not kept");
    }

    private static Recovery fail(String message) {
        return new Recovery.Fail(Refusal.of(RefusalType.ANSWER_CUT, message, Fate.RAN));
    }
}
