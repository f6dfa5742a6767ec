package org.ibissaddle.daemon.state;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ibissaddle.dispatch.Evidence;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.RefusalType;

/** Passes what requests see of backend servers on to whoever keeps the beliefs. */
public final class ServerObservations {
    private final AtomicReference<Consumer<ServerId>> unreachable = new AtomicReference<>(server -> {});
    private final AtomicReference<Consumer<ServerId>> leaving = new AtomicReference<>(server -> {});

    /**
     * Sets who is told.
     *
     * @param whenUnreachable told of servers that could not be connected to
     * @param whenLeaving told of servers that said they leave
     */
    public void listen(Consumer<ServerId> whenUnreachable, Consumer<ServerId> whenLeaving) {
        unreachable.set(whenUnreachable);
        leaving.set(whenLeaving);
    }

    /**
     * Takes in what is certain after an attempt at a backend server.
     *
     * @param evidence the evidence
     */
    public void observe(Evidence evidence) {
        if (evidence instanceof Evidence.NothingHanded nothing
                && nothing.refusal().type() == RefusalType.NO_SERVER) {
            unreachable.get().accept(nothing.server());
        }
        if (evidence instanceof Evidence.SaidNotRun said && said.refusal().type() == RefusalType.DRAINING) {
            leaving.get().accept(said.server());
        }
    }
}
