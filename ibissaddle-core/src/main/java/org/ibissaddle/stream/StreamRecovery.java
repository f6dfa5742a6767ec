package org.ibissaddle.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Decides how to recover one streamed response after its connection was lost. Not thread-safe. */
public final class StreamRecovery {
    /** Maximum number of consecutive resumes at one engine without any new text. */
    static final int MAX_RESUMES_WITHOUT_PROGRESS = 3;

    private final ResponseSequencer sequencer;
    private final long deadlineMs;
    private final RetryBudget budget;
    private final Set<ServerId> lostServers = new HashSet<>();
    private int resumesWithoutProgress;
    private long relayedAtLastLoss = -1;

    /**
     * Creates the recovery of a response.
     *
     * @param sequencer sequencer of the response
     * @param deadlineMs deadline of the caller in epoch milliseconds
     * @param budget retry budget of the server pool
     */
    public StreamRecovery(ResponseSequencer sequencer, long deadlineMs, RetryBudget budget) {
        this.sequencer = sequencer;
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
    public RecoveryAction onConnectionLost(ServerId server, long nowMs) {
        if (sequencer.relayedChars() > relayedAtLastLoss) {
            resumesWithoutProgress = 0;
        }
        relayedAtLastLoss = sequencer.relayedChars();
        if (nowMs >= deadlineMs) {
            return fail("the deadline passed before the response was complete");
        }
        if (resumesWithoutProgress++ >= MAX_RESUMES_WITHOUT_PROGRESS) {
            return onServerLost(server, nowMs);
        }
        return new RecoveryAction.Resume(server, sequencer.relayedChars());
    }

    /**
     * Records that an engine responded to a resume after a period without events. The engine is slow, not unavailable,
     * so this resume does not count towards the limit.
     */
    public void resumeSucceeded() {
        resumesWithoutProgress = Math.max(0, resumesWithoutProgress - 1);
    }

    /**
     * Decides how to continue after an engine became unavailable or no longer has the stream.
     *
     * @param server the engine
     * @param nowMs current time in epoch milliseconds
     * @return the action to take
     */
    public RecoveryAction onServerLost(ServerId server, long nowMs) {
        lostServers.add(server);
        resumesWithoutProgress = 0;
        relayedAtLastLoss = -1;
        if (nowMs >= deadlineMs) {
            return fail("the deadline passed before the response was complete");
        }
        if (!budget.tryAcquire()) {
            return fail("server " + server + " became unavailable and the retry budget of its pool is exhausted");
        }
        int attempt = sequencer.attempt() + 1;
        if (sequencer.relayedChars() == 0) {
            return new RecoveryAction.Restart(attempt, lostServers);
        }
        Optional<String> text = sequencer.relayedText();
        return text.isPresent()
                ? new RecoveryAction.Continue(attempt, lostServers, text.get())
                : fail("server " + server + " became unavailable and the text relayed so far is not stored");
    }

    private static RecoveryAction fail(String message) {
        return new RecoveryAction.Fail(Refusal.of(RefusalType.ANSWER_CUT, message, ExecutionStatus.RAN));
    }
}
