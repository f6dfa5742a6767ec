package org.ibissaddle.daemon.once;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.dispatch.Claim;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Permit;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Ticket;
import org.ibissaddle.ticket.TicketCodec;
import org.ibissaddle.ticket.TicketException;

/** Handles calls that must be executed at most once. Forwards a call if another instance owns its ticket. */
final class AtMostOnceCallHandler {
    private final AtMostOnceLedger ledger;
    private final TicketCodec tickets;
    private final ServiceDispatcher dispatcher;
    private final OwnerForwarder ownerForwarder;
    private final OutcomeWriter outcomeWriter;
    private final Clock clock;
    private final EventLog log;

    AtMostOnceCallHandler(
            AtMostOnceLedger ledger,
            TicketCodec tickets,
            ServiceDispatcher dispatcher,
            OwnerForwarder ownerForwarder,
            OutcomeWriter outcomeWriter,
            Clock clock,
            EventLog log) {
        this.ledger = ledger;
        this.tickets = tickets;
        this.dispatcher = dispatcher;
        this.ownerForwarder = ownerForwarder;
        this.outcomeWriter = outcomeWriter;
        this.clock = clock;
        this.log = log;
    }

    void handle(CallerRequest request, Workspace workspace, ClientResponseWriter response) throws IOException {
        Optional<String> header = request.head().header(GatewayHeaders.TICKET);
        if (header.isEmpty()) {
            String message = "call \"" + request.head().method() + " "
                    + request.head().path()
                    + "\" must be executed at most once; request a ticket and send it in the header "
                    + GatewayHeaders.TICKET;
            outcomeWriter.write(Refusal.of(RefusalType.TICKET_REQUIRED, message, ExecutionStatus.NOT_RUN), response);
            return;
        }
        try {
            Ticket ticket = readTicket(header.get(), request, workspace);
            ServiceCall call =
                    new ServiceCall(request, workspace, ticket.pool(), ticket.key(), ticket.deadlineMs(), List.of());
            outcomeWriter.write(execute(ticket, call), response);
        } catch (TicketException e) {
            ExecutionStatus executionStatus =
                    e.reason() == TicketException.Reason.MALFORMED ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN;
            outcomeWriter.write(Refusal.of(RefusalType.TICKET_INVALID, e.getMessage(), executionStatus), response);
        }
    }

    private Ticket readTicket(String text, CallerRequest request, Workspace workspace) throws TicketException {
        Ticket ticket = tickets.read(text);
        if (!ticket.covers(
                workspace.id(), request.head().method(), request.head().path())) {
            throw new TicketException(TicketException.Reason.OTHER_CALL, "the ticket was issued for another call");
        }
        return ticket;
    }

    private Outcome execute(Ticket ticket, ServiceCall call) {
        return switch (ledger.claim(ticket, clock.nowMs())) {
            case Claim.Run run -> run(call, run.permit());
            case Claim.Wait wait -> awaitOutcome(wait.outcome(), ticket);
            case Claim.Known known -> known.outcome();
            case Claim.OwnedElsewhere elsewhere -> ownerForwarder.forward(ticket, call);
        };
    }

    private Outcome run(ServiceCall call, Permit permit) {
        try {
            Outcome outcome = permit.complete(dispatcher.dispatchAtMostOnce(call, permit));
            log.debug(
                    "ran-once",
                    "key",
                    call.key(),
                    "ran",
                    outcome.executionStatus().wireName());
            return outcome;
        } finally {
            permit.completeAfterFailure();
        }
    }

    private Outcome awaitOutcome(CompletionStage<Outcome> running, Ticket ticket) {
        try {
            long remainingMs = Math.max(1, ticket.deadlineMs() - clock.nowMs());
            return running.toCompletableFuture().get(remainingMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return stillRunning(ticket);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return stillRunning(ticket);
        }
    }

    private static Outcome stillRunning(Ticket ticket) {
        return new Outcome.Unknown(Refusal.of(
                RefusalType.IN_PROGRESS,
                "the call with key " + ticket.key() + " is still running",
                ExecutionStatus.UNKNOWN));
    }
}
