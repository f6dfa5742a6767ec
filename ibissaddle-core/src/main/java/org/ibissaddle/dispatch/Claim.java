package org.ibissaddle.dispatch;

import java.util.concurrent.CompletionStage;
import org.ibissaddle.id.InstanceId;

/** What an instance does with a ticketed call that it was sent. */
public sealed interface Claim {
    /**
     * Run it; nobody else will.
     *
     * @param permit the only leave to run it
     */
    record Run(Permit permit) implements Claim {}

    /**
     * It is running already; its outcome is the answer.
     *
     * @param outcome completed by whoever runs it
     */
    record Wait(CompletionStage<Outcome> outcome) implements Claim {}

    /**
     * The answer is known.
     *
     * @param outcome the answer
     */
    record Known(Outcome outcome) implements Claim {}

    /**
     * Only another instance may run it or say that it was not run.
     *
     * @param owner that instance
     */
    record Elsewhere(InstanceId owner) implements Claim {}
}
