package org.ibissaddle.daemon.once;

import java.io.IOException;
import java.util.UUID;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.ForwardingHops;
import org.ibissaddle.daemon.path.RequestFieldParser;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.path.ServiceCallHandler;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.note.PoolRoute;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.TicketCodec;

/** Handles the calls that the release note routes to plain services. */
public final class PlainServiceCallHandler implements ServiceCallHandler, AutoCloseable {
    private final Settings settings;
    private final SharedState state;
    private final ServiceDispatcher dispatcher;
    private final AtMostOnceCallHandler atMostOnceHandler;
    private final OutcomeWriter outcomeWriter;

    /**
     * Creates the handler.
     *
     * @param settings settings of the instance
     * @param state release note in force and view of the fleet
     * @param policy placement policy for calls
     * @param budgets retry budgets
     * @param ledger record of calls that must be executed at most once
     * @param tickets decodes tickets
     * @param clock source of time
     * @param log log of the instance
     */
    public PlainServiceCallHandler(
            Settings settings,
            SharedState state,
            PlacementPolicy policy,
            RetryBudgets budgets,
            AtMostOnceLedger ledger,
            TicketCodec tickets,
            Clock clock,
            EventLog log) {
        this.settings = settings;
        this.state = state;
        dispatcher = new ServiceDispatcher(settings, state, policy, budgets, clock);
        outcomeWriter = new OutcomeWriter(settings.instance(), clock);
        OwnerForwarder ownerForwarder = new OwnerForwarder(settings, state, clock);
        atMostOnceHandler =
                new AtMostOnceCallHandler(ledger, tickets, dispatcher, ownerForwarder, outcomeWriter, clock, log);
    }

    @Override
    public void handle(CallerRequest request, Workspace workspace, ClientResponseWriter response)
            throws RefusedException, IOException {
        PoolRoute route = state.note()
                .orElseThrow()
                .route(request.head().method(), request.head().path())
                .orElseThrow(() -> new RefusedException(Refusal.of(
                        RefusalType.UNKNOWN_ROUTE,
                        "the release note no longer declares a route for call \""
                                + request.head().method() + " " + request.head().path() + "\"",
                        ExecutionStatus.NOT_RUN)));
        if (!route.repeatable()) {
            atMostOnceHandler.handle(request, workspace, response);
            return;
        }
        long deadlineMs =
                RequestFieldParser.deadlineMs(request, settings.limits().defaultDeadlineMs());
        String key = UUID.randomUUID().toString();
        ServiceCall call = new ServiceCall(
                request,
                workspace,
                route.pool(),
                key,
                deadlineMs,
                ForwardingHops.forwardingRegions(request.head(), settings.region()));
        outcomeWriter.write(dispatcher.dispatchRetryable(call), response);
    }

    @Override
    public void close() {
        dispatcher.close();
    }
}
