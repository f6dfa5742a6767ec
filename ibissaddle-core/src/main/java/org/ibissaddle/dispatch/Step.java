package org.ibissaddle.dispatch;

import java.util.Set;
import org.ibissaddle.id.ServerId;

/** Next step of a call. */
public sealed interface Step {
    /**
     * Select a server that has not been tried and send the call to it.
     *
     * @param attempt number of the attempt, from 0
     * @param tried servers that must not be selected again
     */
    record SelectServer(int attempt, Set<ServerId> tried) implements Step {}

    /**
     * The call has ended.
     *
     * @param outcome its outcome
     */
    record Finish(Outcome outcome) implements Step {}
}
