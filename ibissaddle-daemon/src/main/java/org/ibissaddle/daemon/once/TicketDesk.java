package org.ibissaddle.daemon.once;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.OnceLedger;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Route;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Ticket;
import org.ibissaddle.ticket.Tickets;

/** Gives out tickets for calls that may run at most once. */
public final class TicketDesk {
    private static final long TICKET_VALID_MS = 15_000;

    private final SharedState state;
    private final OnceLedger ledger;
    private final Tickets tickets;
    private final Clock clock;
    private final SecureRandom random = new SecureRandom();
    private final AtomicLong ownUntilMs = new AtomicLong();

    /**
     * Creates the desk.
     *
     * @param state note and beliefs
     * @param ledger memory of calls that run once
     * @param tickets writes tickets
     * @param clock source of time
     */
    public TicketDesk(SharedState state, OnceLedger ledger, Tickets tickets, Clock clock) {
        this.state = state;
        this.ledger = ledger;
        this.tickets = tickets;
        this.clock = clock;
    }

    /**
     * A ticket with its owner.
     *
     * @param text the written ticket
     * @param owner instance that may run the call
     */
    public record Given(String text, InstanceView owner) {}

    /**
     * Gives out a ticket.
     *
     * @param workspace workspace of the call
     * @param method HTTP method, upper case
     * @param path path without query
     * @param candidates instances that may serve the workspace, preferred first
     * @return the ticket; empty when the call needs none or no instance can own it
     */
    public Optional<Given> give(Workspace workspace, String method, String path, List<InstanceView> candidates) {
        ReleaseNote note = state.note().orElseThrow();
        Optional<Route> route = note.route(method, path);
        if (route.isEmpty() || route.get().repeatable()) {
            return Optional.empty();
        }
        for (InstanceView owner : candidates) {
            boolean self = owner.id().equals(state.fleet().self().id());
            if (owner.incarnation().isEmpty() || (self && !ledger.hasRoom())) {
                continue;
            }
            return Optional.of(new Given(write(workspace, route.get(), method, path, owner, self), owner));
        }
        return Optional.empty();
    }

    private String write(
            Workspace workspace, Route route, String method, String path, InstanceView owner, boolean self) {
        long deadlineMs = clock.nowMs() + TICKET_VALID_MS;
        if (self) {
            ownUntilMs.accumulateAndGet(deadlineMs, Math::max);
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
     * Returns until when calls may come that only this instance may run.
     *
     * @return epoch milliseconds, 0 when no ticket was given out
     */
    public long ownTicketsUntilMs() {
        return ownUntilMs.get();
    }
}
