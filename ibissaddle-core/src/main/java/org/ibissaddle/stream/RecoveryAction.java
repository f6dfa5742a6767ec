package org.ibissaddle.stream;

import java.util.Set;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Refusal;

/** Action to take after the connection of a streamed response was lost. */
public sealed interface RecoveryAction {
    /**
     * Resume the stream at the same engine.
     *
     * @param server the engine
     * @param offset offset of the first missing character
     */
    record Resume(ServerId server, long offset) implements RecoveryAction {}

    /**
     * Generate the response again on another engine. Used while the caller has not received any text.
     *
     * @param attempt number of the new attempt
     * @param tried engines that must not be used
     */
    record Restart(int attempt, Set<ServerId> tried) implements RecoveryAction {
        /** Makes a defensive copy of the set. */
        public Restart {
            tried = Set.copyOf(tried);
        }
    }

    /**
     * Continue the response on another engine after the text that the caller has received.
     *
     * @param attempt number of the new attempt
     * @param tried engines that must not be used
     * @param text text that the caller has received
     */
    record Continue(int attempt, Set<ServerId> tried, String text) implements RecoveryAction {
        /** Makes a defensive copy of the set. */
        public Continue {
            tried = Set.copyOf(tried);
        }
    }

    /**
     * End the response with an explicit error.
     *
     * @param refusal the error for the caller
     */
    record Fail(Refusal refusal) implements RecoveryAction {}
}
