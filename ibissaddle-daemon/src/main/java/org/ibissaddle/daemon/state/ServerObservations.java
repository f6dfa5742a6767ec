package org.ibissaddle.daemon.state;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.RefusalType;

/** Forwards what requests observe about backend servers to the component that tracks server health. */
public final class ServerObservations {
    private final AtomicReference<Consumer<ServerId>> unreachableListener = new AtomicReference<>(server -> {});
    private final AtomicReference<Consumer<ServerId>> drainingListener = new AtomicReference<>(server -> {});

    /**
     * Sets the listeners.
     *
     * @param onUnreachable receives servers to which no connection could be established
     * @param onDraining receives servers that reported that they are draining
     */
    public void setListeners(Consumer<ServerId> onUnreachable, Consumer<ServerId> onDraining) {
        unreachableListener.set(onUnreachable);
        drainingListener.set(onDraining);
    }

    /**
     * Processes the outcome of an attempt at a backend server.
     *
     * @param evidence what is known for certain about the attempt
     */
    public void recordOutcome(AttemptResult evidence) {
        if (evidence instanceof AttemptResult.Unsent notSent
                && notSent.refusal().type() == RefusalType.NO_SERVER) {
            unreachableListener.get().accept(notSent.server());
        }
        if (evidence instanceof AttemptResult.ReportedNotRun notRun
                && notRun.refusal().type() == RefusalType.DRAINING) {
            drainingListener.get().accept(notRun.server());
        }
    }
}
