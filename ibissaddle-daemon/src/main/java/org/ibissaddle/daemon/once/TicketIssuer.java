package org.ibissaddle.daemon.once;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.note.PoolRoute;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Ticket;
import org.ibissaddle.ticket.TicketCodec;

/** Issues tickets for calls that must be executed at most once. */
public final class TicketIssuer {
    private static final long TICKET_VALID_MS = 15_000;

    private final SharedState state;
    private final AtMostOnceLedger ledger;
    private final TicketCodec tickets;
    private final Clock clock;
    private final SecureRandom random = new SecureRandom();
    private final AtomicLong latestOwnDeadlineMs = new AtomicLong();

    /**
     * Creates an issuer that has issued no ticket.
     *
     * @param state release note in force and view of the fleet
     * @param ledger record of calls that must be executed at most once
     * @param tickets encodes tickets
     * @param clock source of time
     */
    public TicketIssuer(SharedState state, AtMostOnceLedger ledger, TicketCodec tickets, Clock clock) {
        this.state = state;
        this.ledger = ledger;
        this.tickets = tickets;
        this.clock = clock;
    }

    /**
     * A ticket and its owner.
     *
     * @param text the encoded ticket
     * @param owner the only instance that may execute the call
     */
    public record IssuedTicket(String text, InstanceView owner) {}

    /**
     * Issues a ticket.
     *
     * @param workspace workspace of the call
     * @param method HTTP method in upper case
     * @param path path without the query
     * @param candidates instances that may serve the workspace, preferred first
     * @return the ticket; empty if the call needs none or no candidate can own it
     */
    public Optional<IssuedTicket> issue(
            Workspace workspace, String method, String path, List<InstanceView> candidates) {
        ReleaseNote note = state.note().orElseThrow();
        Optional<PoolRoute> route = note.route(method, path);
        if (route.isEmpty() || route.get().repeatable()) {
            return Optional.empty();
        }
        for (InstanceView owner : candidates) {
            boolean self = owner.id().equals(state.fleet().self().id());
            if (owner.incarnation().isEmpty() || (self && !ledger.hasCapacity())) {
                continue;
            }
            return Optional.of(
                    new IssuedTicket(encodeTicket(workspace, route.get(), method, path, owner, self), owner));
        }
        return Optional.empty();
    }

    private String encodeTicket(
            Workspace workspace, PoolRoute route, String method, String path, InstanceView owner, boolean self) {
        long deadlineMs = clock.nowMs() + TICKET_VALID_MS;
        if (self) {
            latestOwnDeadlineMs.accumulateAndGet(deadlineMs, Math::max);
        }
        return tickets.write(new Ticket(
                Ticket.newKey(random),
                route.pool(),
                workspace.id(),
                Ticket.callHash(method, path),
                owner.id(),
                owner.incarnation().orElseThrow(),
                deadlineMs));
    }

    /**
     * Returns the latest deadline of the tickets that this instance has issued and owns. Until then, calls may arrive
     * that only this instance may execute.
     *
     * @return epoch milliseconds; 0 if there is no such ticket
     */
    public long latestOwnDeadlineMs() {
        return latestOwnDeadlineMs.get();
    }
}
