package org.ibissaddle.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.ticket.Ticket;

/** Permission to execute the call of one key once; stores the outcome. */
public final class Permit {
    private final Ticket ticket;
    private final AtMostOnceLedger ledger;
    private final AtomicReference<State> state = new AtomicReference<>(new Pending(false, new CompletableFuture<>()));

    Permit(Ticket ticket, AtMostOnceLedger ledger) {
        this.ticket = ticket;
        this.ledger = ledger;
    }

    /**
     * Returns the ticket.
     *
     * @return the ticket of the call
     */
    public Ticket ticket() {
        return ticket;
    }

    /**
     * Requests permission to write the call. Call this after the connection is established, right before the first
     * byte.
     *
     * @param nowMs current time, read right before this call, epoch milliseconds
     * @return whether the call may be written now; once true, it is not true again before {@link #recordRefusal()}
     */
    public boolean maySend(long nowMs) {
        State current = state.get();
        return current instanceof Pending pending
                && !pending.sent()
                && ledger.advanceClock(nowMs) < ticket.deadlineMs()
                && state.compareAndSet(current, new Pending(true, pending.result()));
    }

    /**
     * Records that the receiver of the last write reported that it did not execute the call. This allows another write.
     */
    public void recordRefusal() {
        State current = state.get();
        boolean reset = current instanceof Pending pending
                && pending.sent()
                && state.compareAndSet(current, new Pending(false, pending.result()));
        if (!reset) {
            throw new IllegalStateException(
                    "key " + ticket.key() + " was not being sent; report a refusal only after a write");
        }
    }

    /**
     * Completes the call. A {@code not-run} outcome is accepted, and seals the key, only if no write is outstanding;
     * otherwise the outcome becomes unknown.
     *
     * @param reported outcome of the call
     * @return the outcome of the key, which is an earlier one if the call has already been completed
     */
    public Outcome complete(Outcome reported) {
        while (true) {
            State current = state.get();
            if (!(current instanceof Pending pending)) {
                return ((Completed) current).outcome();
            }
            Outcome outcome = reported instanceof Outcome.NotRun && pending.sent() ? unknownOutcome() : reported;
            Outcome stored = ledger.toStored(outcome);
            if (state.compareAndSet(current, new Completed(stored))) {
                pending.result().complete(outcome);
                return outcome;
            }
            ledger.release(stored);
        }
    }

    /**
     * Completes the call after the code that executes it failed: seals the key if no write is outstanding, otherwise
     * the outcome is unknown.
     */
    public void completeAfterFailure() {
        complete(sealedOutcome());
    }

    Outcome seal() {
        return complete(sealedOutcome());
    }

    Claim claim() {
        return switch (state.get()) {
            case Pending pending -> new Claim.Wait(pending.result().minimalCompletionStage());
            case Completed completed -> new Claim.Known(completed.outcome());
        };
    }

    Optional<Outcome> storedOutcome() {
        return state.get() instanceof Completed completed ? Optional.of(completed.outcome()) : Optional.empty();
    }

    private Outcome sealedOutcome() {
        return new Outcome.NotRun(
                new NotRunProof.KeySealed(),
                Refusal.of(
                        RefusalType.TICKET_EXPIRED,
                        "the call with key " + ticket.key() + " did not run before its deadline; request a new ticket",
                        ExecutionStatus.NOT_RUN));
    }

    private Outcome unknownOutcome() {
        return new Outcome.Unknown(Refusal.of(
                RefusalType.BACKEND_FAILED,
                "the call with key " + ticket.key() + " was sent, but no response was received",
                ExecutionStatus.UNKNOWN));
    }

    private sealed interface State {}

    /**
     * The call has not been completed.
     *
     * @param sent whether a byte may have been passed to a connection whose receiver has not refused the call
     * @param result future that is completed with the outcome
     */
    private record Pending(boolean sent, CompletableFuture<Outcome> result) implements State {}

    private record Completed(Outcome outcome) implements State {}
}
