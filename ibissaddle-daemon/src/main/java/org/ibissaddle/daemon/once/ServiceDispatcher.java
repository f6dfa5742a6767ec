package org.ibissaddle.daemon.once;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.daemon.backend.LocalAddressSocketFactory;
import org.ibissaddle.daemon.backend.ServiceClient;
import org.ibissaddle.daemon.path.ForwardingHops;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Permit;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.dispatch.SendCheck;
import org.ibissaddle.dispatch.Step;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.port.Clock;

/** Places and sends calls to plain services, and repeats this until their {@link Dispatch} finishes. */
final class ServiceDispatcher implements AutoCloseable {
    private static final long MAX_VIEW_AGE_MS = 60_000;

    private final Settings settings;
    private final SharedState state;
    private final PlacementPolicy policy;
    private final RetryBudgets budgets;
    private final Clock clock;
    private final ServiceClient unpooledClient;
    private final ServiceClient pooledClient;

    ServiceDispatcher(Settings settings, SharedState state, PlacementPolicy policy, RetryBudgets budgets, Clock clock) {
        this.settings = settings;
        this.state = state;
        this.policy = policy;
        this.budgets = budgets;
        this.clock = clock;
        LocalAddressSocketFactory sockets = LocalAddressSocketFactory.from(settings.callerAddress());
        unpooledClient = ServiceClient.unpooled(sockets);
        pooledClient = ServiceClient.pooled(sockets);
    }

    /** Dispatches a call that may be executed more than once. */
    Outcome dispatchRetryable(ServiceCall call) {
        RetryBudget budget = budgets.of(call.pool());
        Dispatch dispatch = call.forwardedBy().isEmpty()
                ? Dispatch.repeatable(call.deadlineMs(), budget)
                : Dispatch.forwarded(call.deadlineMs(), budget);
        return run(dispatch, call, Optional.empty());
    }

    /** Dispatches a call that must be executed at most once. */
    Outcome dispatchAtMostOnce(ServiceCall call, Permit permit) {
        Dispatch dispatch = Dispatch.atMostOnce(call.deadlineMs(), budgets.of(call.pool()));
        return run(dispatch, call, Optional.of(permit));
    }

    private Outcome run(Dispatch dispatch, ServiceCall call, Optional<Permit> permit) {
        Step step = dispatch.first();
        while (step instanceof Step.SelectServer place) {
            AttemptResult evidence = attempt(place, call, permit);
            if (evidence instanceof AttemptResult.ReportedNotRun) {
                permit.ifPresent(Permit::recordRefusal);
            }
            step = dispatch.next(evidence, clock.nowMs());
        }
        return ((Step.Finish) step).outcome();
    }

    private AttemptResult attempt(Step.SelectServer step, ServiceCall call, Optional<Permit> permit) {
        PlacementRequest request = call.toPlacementRequest(step.tried());
        Placement placement = policy.place(
                request, state.note().orElseThrow(), state.fleet(), clock.nowMs(), ThreadLocalRandom.current());
        return switch (placement) {
            case Placement.Refuse refuse -> new AttemptResult.NoServerAvailable(refuse.refusal());
            case Placement.Serve serve -> {
                PlacementPolicy.DispatchHandle dispatchHandle =
                        policy.recordDispatch(request, placement, clock.nowMs());
                AttemptResult evidence = send(serve.server(), step, call, permit);
                state.observations().recordOutcome(evidence);
                dispatchHandle.completed(evidence instanceof AttemptResult.Answered, clock.nowMs());
                yield evidence;
            }
            case Placement.Forward forward -> permit.isPresent() ? noLocalServer(call) : forward(forward.peer(), call);
        };
    }

    private AttemptResult send(ServerView server, Step.SelectServer step, ServiceCall call, Optional<Permit> permit) {
        ServiceClient client = permit.isPresent() ? unpooledClient : pooledClient;
        return client.send(
                server.id(),
                server.address(),
                call.toServerRequest(step.attempt()),
                () -> checkBeforeSend(server, call, permit),
                call.deadlineMs() - clock.nowMs());
    }

    private Optional<Refusal> checkBeforeSend(ServerView server, ServiceCall call, Optional<Permit> permit) {
        SendCheck check = new SendCheck(
                call.workspace().id(), call.pool(), settings.region(), call.deadlineMs(), MAX_VIEW_AGE_MS);
        Optional<Refusal> refusal = check.refusal(server, state.note().orElseThrow(), state.fleet(), clock.nowMs());
        if (refusal.isPresent() || permit.isEmpty() || permit.get().maySend(clock.nowMs())) {
            return refusal;
        }
        return Optional.of(Refusal.of(
                RefusalType.TICKET_EXPIRED, "the deadline of the ticket has passed", ExecutionStatus.NOT_RUN));
    }

    private AttemptResult forward(InstanceView peer, ServiceCall call) {
        return pooledClient.send(
                new ServerId(peer.id().name()),
                peer.callerAddress(),
                call.toInstanceRequest(
                        ForwardingHops.format(settings), state.recorder().nextTimestamp()),
                Optional::empty,
                call.deadlineMs() - clock.nowMs());
    }

    private static AttemptResult noLocalServer(ServiceCall call) {
        String message = "no server of pool \"" + call.pool() + "\" in this region can accept the call";
        return new AttemptResult.NoServerAvailable(Refusal.of(RefusalType.NO_SERVER, message, ExecutionStatus.NOT_RUN));
    }

    @Override
    public void close() {
        unpooledClient.close();
        pooledClient.close();
    }
}
