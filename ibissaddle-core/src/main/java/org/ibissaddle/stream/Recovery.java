package org.ibissaddle.stream;

import java.util.Set;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Refusal;

/** How an answer goes on after its connection was lost. */
public sealed interface Recovery {
    /**
     * Read on at the same engine.
     *
     * @param server the engine
     * @param offset first character that is missing
     */
    record Resume(ServerId server, long offset) implements Recovery {}

    /**
     * Generate anew on another engine; the caller has nothing yet.
     *
     * @param attempt number of the attempt
     * @param tried engines that must not be used
     */
    record Restart(int attempt, Set<ServerId> tried) implements Recovery {
        /** Copies the set. */
        public Restart {
            tried = Set.copyOf(tried);
        }
    }

    /**
     * Let another engine go on behind the text that the caller has.
     *
     * @param attempt number of the attempt
     * @param tried engines that must not be used
     * @param text exact text that the caller has
     */
    record Continue(int attempt, Set<ServerId> tried, String text) implements Recovery {
        /** Copies the set. */
        public Continue {
            tried = Set.copyOf(tried);
        }
    }

    /**
     * End the answer with an explicit error.
     *
     * @param refusal what the caller is told
     */
    record Fail(Refusal refusal) implements Recovery {}
}
