package org.ibissaddle.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.ticket.Ticket;

/** Leave to run one key once, and the memory of what came of it. */
public final class Permit {
    private final Ticket ticket;
    private final OnceLedger ledger;
    private final AtomicReference<State> state = new AtomicReference<>(new Open(false, new CompletableFuture<>()));

    Permit(Ticket ticket, OnceLedger ledger) {
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
     * Asks for leave to write, after the connection stands and right before the first byte.
     *
     * @param nowMs a fresh reading of the clock, epoch milliseconds
     * @return whether the call may be written now; never true again until the attempt was withdrawn
     */
    public boolean maySend(long nowMs) {
        State now = state.get();
        return now instanceof Open open
                && !open.sent()
                && ledger.advance(nowMs) < ticket.deadlineMs()
                && state.compareAndSet(now, new Open(true, open.waiting()));
    }

    /** Notes that the receiver of the last write said itself that it did not run the call. */
    public void refusedByReceiver() {
        State now = state.get();
        boolean withdrawn =
                now instanceof Open open && open.sent() && state.compareAndSet(now, new Open(false, open.waiting()));
        if (!withdrawn) {
            throw new IllegalStateException(
                    "key " + ticket.key() + " was not being sent; report only what was written");
        }
    }

    /**
     * Ends the call. An outcome that says not run is only taken when nothing is out; it seals the key.
     *
     * @param end how the call ended
     * @return the outcome that is remembered
     */
    public Outcome finish(Outcome end) {
        while (true) {
            State now = state.get();
            if (!(now instanceof Open open)) {
                return ((Done) now).outcome();
            }
            Outcome real = end instanceof Outcome.NotRun && open.sent() ? unknown() : end;
            Outcome kept = ledger.compact(real);
            if (state.compareAndSet(now, new Done(kept))) {
                open.waiting().complete(real);
                return real;
            }
            ledger.release(kept);
        }
    }

    /** Ends the call when whoever ran it failed: sealed if nothing was written, else unknown. */
    public void abandon() {
        finish(sealed());
    }

    Outcome seal() {
        return finish(sealed());
    }

    Claim claim() {
        return switch (state.get()) {
            case Open open -> new Claim.Wait(open.waiting().minimalCompletionStage());
            case Done done -> new Claim.Known(done.outcome());
        };
    }

    Optional<Outcome> kept() {
        return state.get() instanceof Done done ? Optional.of(done.outcome()) : Optional.empty();
    }

    private Outcome sealed() {
        return new Outcome.NotRun(
                new NotRunProof.KeySealed(),
                Refusal.of(
                        RefusalType.TICKET_EXPIRED,
                        "key " + ticket.key() + " was not run before its deadline; ask for a new ticket",
                        Fate.NOT_RUN));
    }

    private Outcome unknown() {
        return new Outcome.Unknown(Refusal.of(
                RefusalType.BACKEND_FAILED, "key " + ticket.key() + " was sent and not answered", Fate.UNKNOWN));
    }

    private sealed interface State {}

    /**
     * Not ended.
     *
     * @param sent whether a byte may have been handed to a connection whose receiver did not refuse
     * @param waiting completed with the outcome
     */
    private record Open(boolean sent, CompletableFuture<Outcome> waiting) implements State {}

    private record Done(Outcome outcome) implements State {}
}
