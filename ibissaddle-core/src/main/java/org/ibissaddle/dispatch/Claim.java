package org.ibissaddle.dispatch;

import java.util.concurrent.CompletionStage;
import org.ibissaddle.id.InstanceId;

/** How an instance handles a ticketed call that it received. */
public sealed interface Claim {
    /**
     * Execute the call; no other request or instance will.
     *
     * @param permit the only permit to execute it
     */
    record Run(Permit permit) implements Claim {}

    /**
     * The call is already being executed; wait for its outcome.
     *
     * @param outcome completed when the execution ends
     */
    record Wait(CompletionStage<Outcome> outcome) implements Claim {}

    /**
     * The outcome is already known.
     *
     * @param outcome the outcome
     */
    record Known(Outcome outcome) implements Claim {}

    /**
     * Only another instance may execute the call or state that it was not executed.
     *
     * @param owner that instance
     */
    record OwnedElsewhere(InstanceId owner) implements Claim {}
}
