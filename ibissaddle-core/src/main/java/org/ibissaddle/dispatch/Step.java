package org.ibissaddle.dispatch;

import java.util.Set;
import org.ibissaddle.id.ServerId;

/** What to do next with a call. */
public sealed interface Step {
    /**
     * Look for a server that has not been tried and send there.
     *
     * @param attempt number of the attempt, from 0
     * @param tried servers that must not be used again
     */
    record Place(int attempt, Set<ServerId> tried) implements Step {}

    /**
     * The call is over.
     *
     * @param outcome how it ended
     */
    record Finish(Outcome outcome) implements Step {}
}
