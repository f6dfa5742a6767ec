package org.ibissaddle.daemon.once;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.dispatch.Claim;
import org.ibissaddle.dispatch.OnceLedger;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Permit;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Ticket;
import org.ibissaddle.ticket.TicketException;
import org.ibissaddle.ticket.Tickets;

/** Serves calls that may run at most once: here when this instance owns the ticket, else by its owner. */
final class OnceCalls {
    private final OnceLedger ledger;
    private final Tickets tickets;
    private final ServiceDispatcher dispatcher;
    private final OwnerForward forward;
    private final Outcomes outcomes;
    private final Clock clock;
    private final EventLog log;

    OnceCalls(
            OnceLedger ledger,
            Tickets tickets,
            ServiceDispatcher dispatcher,
            OwnerForward forward,
            Outcomes outcomes,
            Clock clock,
            EventLog log) {
        this.ledger = ledger;
        this.tickets = tickets;
        this.dispatcher = dispatcher;
        this.forward = forward;
        this.outcomes = outcomes;
        this.clock = clock;
        this.log = log;
    }

    /** Serves a call. */
    void serve(CallerRequest request, Workspace workspace, CallerReply reply) throws IOException {
        Optional<String> text = request.head().header(Headers.TICKET);
        if (text.isEmpty()) {
            String message = "call \"" + request.head().method() + " "
                    + request.head().path() + "\" may run once only: ask for a ticket and send it as "
                    + Headers.TICKET;
            outcomes.tell(Refusal.of(RefusalType.TICKET_REQUIRED, message, Fate.NOT_RUN), reply);
            return;
        }
        try {
            Ticket ticket = read(text.get(), request, workspace);
            ServiceCall call =
                    new ServiceCall(request, workspace, ticket.pool(), ticket.key(), ticket.deadlineMs(), List.of());
            outcomes.tell(outcome(ticket, call), reply);
        } catch (TicketException e) {
            Fate fate = e.reason() == TicketException.Reason.MALFORMED ? Fate.NOT_RUN : Fate.UNKNOWN;
            outcomes.tell(Refusal.of(RefusalType.TICKET_INVALID, e.getMessage(), fate), reply);
        }
    }

    private Ticket read(String text, CallerRequest request, Workspace workspace) throws TicketException {
        Ticket ticket = tickets.read(text);
        if (!ticket.covers(
                workspace.id(), request.head().method(), request.head().path())) {
            throw new TicketException(TicketException.Reason.OTHER_CALL, "the ticket was given out for another call");
        }
        return ticket;
    }

    private Outcome outcome(Ticket ticket, ServiceCall call) {
        return switch (ledger.claim(ticket, clock.nowMs())) {
            case Claim.Run run -> run(call, run.permit());
            case Claim.Wait wait -> await(wait.outcome(), ticket);
            case Claim.Known known -> known.outcome();
            case Claim.Elsewhere elsewhere -> forward.toOwner(ticket, call);
        };
    }

    private Outcome run(ServiceCall call, Permit permit) {
        try {
            Outcome outcome = permit.finish(dispatcher.once(call, permit));
            log.fine("ran-once", "key", call.key(), "ran", outcome.fate().word());
            return outcome;
        } finally {
            permit.abandon();
        }
    }

    private Outcome await(CompletionStage<Outcome> running, Ticket ticket) {
        try {
            long leftMs = Math.max(1, ticket.deadlineMs() - clock.nowMs());
            return running.toCompletableFuture().get(leftMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return stillRunning(ticket);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return stillRunning(ticket);
        }
    }

    private static Outcome stillRunning(Ticket ticket) {
        return new Outcome.Unknown(
                Refusal.of(RefusalType.IN_PROGRESS, "key " + ticket.key() + " is still running", Fate.UNKNOWN));
    }
}
