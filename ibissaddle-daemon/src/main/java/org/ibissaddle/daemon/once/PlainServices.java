package org.ibissaddle.daemon.once;

import java.io.IOException;
import java.util.UUID;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.Hops;
import org.ibissaddle.daemon.path.RequestFields;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.path.ServiceCalls;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.OnceLedger;
import org.ibissaddle.note.Route;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Tickets;

/** Serves the calls that the note routes to plain services. */
public final class PlainServices implements ServiceCalls, AutoCloseable {
    private final Settings settings;
    private final SharedState state;
    private final ServiceDispatcher dispatcher;
    private final OnceCalls onceCalls;
    private final Outcomes outcomes;

    /**
     * Creates the service.
     *
     * @param settings settings of the instance
     * @param state note and beliefs
     * @param policy decides where calls are served
     * @param budgets retry budgets
     * @param ledger memory of calls that run once
     * @param tickets reads tickets
     * @param clock source of time
     * @param log log of the instance
     */
    public PlainServices(
            Settings settings,
            SharedState state,
            PlacementPolicy policy,
            RetryBudgets budgets,
            OnceLedger ledger,
            Tickets tickets,
            Clock clock,
            EventLog log) {
        this.settings = settings;
        this.state = state;
        dispatcher = new ServiceDispatcher(settings, state, policy, budgets, clock);
        outcomes = new Outcomes(settings.instance(), clock);
        OwnerForward forward = new OwnerForward(settings, state, clock);
        onceCalls = new OnceCalls(ledger, tickets, dispatcher, forward, outcomes, clock, log);
    }

    @Override
    public void serve(CallerRequest request, Workspace workspace, CallerReply reply)
            throws RefusedException, IOException {
        Route route = state.note()
                .orElseThrow()
                .route(request.head().method(), request.head().path())
                .orElseThrow(() -> new RefusedException(
                        Refusal.of(RefusalType.UNKNOWN_ROUTE, "the call is no longer declared", Fate.NOT_RUN)));
        if (!route.repeatable()) {
            onceCalls.serve(request, workspace, reply);
            return;
        }
        long deadlineMs = RequestFields.deadlineMs(request, settings.limits().defaultDeadlineMs());
        String key = UUID.randomUUID().toString();
        ServiceCall call = new ServiceCall(
                request, workspace, route.pool(), key, deadlineMs, Hops.visited(request.head(), settings.region()));
        outcomes.tell(dispatcher.repeatable(call), reply);
    }

    @Override
    public void close() {
        dispatcher.close();
    }
}
