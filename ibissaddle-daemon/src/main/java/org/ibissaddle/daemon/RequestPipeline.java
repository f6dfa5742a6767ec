package org.ibissaddle.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibissaddle.daemon.admission.AdmissionGate;
import org.ibissaddle.daemon.admission.AdmissionNotifyingPolicy;
import org.ibissaddle.daemon.admission.RegionLoadEstimator;
import org.ibissaddle.daemon.backend.LocalAddressSocketFactory;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.caller.RefusalCounts;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.once.PlainServiceCallHandler;
import org.ibissaddle.daemon.once.TicketIssuer;
import org.ibissaddle.daemon.path.ModelCallRouter;
import org.ibissaddle.daemon.path.RequestRouter;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.path.WorkspaceResolver;
import org.ibissaddle.daemon.peer.FreshViewPolicy;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.stream.CrashTracker;
import org.ibissaddle.daemon.stream.ModelCallDependencies;
import org.ibissaddle.daemon.stream.ModelCallHandler;
import org.ibissaddle.daemon.stream.StreamClaims;
import org.ibissaddle.daemon.stream.StreamResumeHandler;
import org.ibissaddle.daemon.timeline.RecordingPolicy;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.dispatch.AtMostOnceLimits;
import org.ibissaddle.membership.LocalDemand;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.port.Clock;
import org.ibissaddle.stream.StreamTokenCodec;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.TicketCodec;

/** Creates and owns the components that process requests, from admission to the backend servers. */
final class RequestPipeline implements AutoCloseable {
    private static final long ADVANCE_INTERVAL_MS = 50;
    private static final long ESTIMATE_INTERVAL_MS = 500;
    private static final long CLEANUP_INTERVAL_MS = 1_000;

    private final RequestRouter requestRouter;
    private final RefusalCounts refusals;
    private final TicketIssuer ticketIssuer;
    private final List<ControlRoutes> peerRoutes;
    private final StreamClient engines;
    private final PlainServiceCallHandler serviceCallHandler;
    private final ScheduledExecutorService scheduler;
    private final RegionLoadEstimator loadEstimator;
    private final AdmissionGate gate;

    private RequestPipeline(
            RequestRouter requestRouter,
            RefusalCounts refusals,
            TicketIssuer ticketIssuer,
            List<ControlRoutes> peerRoutes,
            StreamClient engines,
            PlainServiceCallHandler serviceCallHandler,
            ScheduledExecutorService scheduler,
            RegionLoadEstimator loadEstimator,
            AdmissionGate gate) {
        this.requestRouter = requestRouter;
        this.refusals = refusals;
        this.ticketIssuer = ticketIssuer;
        this.peerRoutes = peerRoutes;
        this.engines = engines;
        this.serviceCallHandler = serviceCallHandler;
        this.scheduler = scheduler;
        this.loadEstimator = loadEstimator;
        this.gate = gate;
    }

    static RequestPipeline create(
            Settings settings,
            SharedState state,
            WeightedPolicy weightedPolicy,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {
        DeploymentKey key = settings.deploymentKey();
        TicketCodec tickets = TicketCodec.withKey(key);
        StreamTokenCodec tokens = new StreamTokenCodec(key);
        AtMostOnceLedger ledger = new AtMostOnceLedger(
                settings.instance(), state.fleet().self().incarnation().orElseThrow(), AtMostOnceLimits.DEFAULT);
        AdmissionGate gate = new AdmissionGate(state, weightedPolicy, clock);
        PlacementPolicy recordingPolicy =
                new RecordingPolicy(new AdmissionNotifyingPolicy(weightedPolicy, gate), state.recorder());
        PlacementPolicy policy = new FreshViewPolicy(recordingPolicy, state, clock);
        RetryBudgets budgets = new RetryBudgets(state, clock);
        StreamClient engines = new StreamClient(LocalAddressSocketFactory.from(settings.callerAddress()));
        CrashTracker crashes = new CrashTracker(state, key, engines, clock, log);
        StreamClaims claims = new StreamClaims(state, tokens, engines, clock);
        ModelCallDependencies dependencies = new ModelCallDependencies(
                settings,
                state,
                policy,
                engines,
                budgets,
                crashes,
                claims,
                tokens,
                clock,
                log,
                metrics.timer("model.first-token"));
        PlainServiceCallHandler serviceCallHandler =
                new PlainServiceCallHandler(settings, state, policy, budgets, ledger, tickets, clock, log);
        RefusalCounts refusals = new RefusalCounts(metrics);
        RequestRouter requestRouter = new RequestRouter(
                state,
                new WorkspaceResolver(state, settings.region()),
                new ModelCallRouter(settings, state, gate, new ModelCallHandler(dependencies)),
                serviceCallHandler,
                new StreamResumeHandler(dependencies),
                refusals,
                clock,
                log);
        metrics.register("once.keys", (Gauge<Long>) ledger::size);
        metrics.register("once.answer-bytes", (Gauge<Long>) ledger::answerBytes);
        metrics.register("requests.waiting", (Gauge<Integer>) gate::waitingRequests);
        metrics.register("requests.open", (Gauge<Integer>) requestRouter::openRequests);
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(
                Thread.ofVirtual().name("expiry").factory());
        var unused = scheduler.scheduleWithFixedDelay(
                () -> ledger.expire(clock.nowMs()), CLEANUP_INTERVAL_MS, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        var unusedAdvance = scheduler.scheduleWithFixedDelay(
                gate::advanceAll, ADVANCE_INTERVAL_MS, ADVANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        var unusedCleanup =
                scheduler.scheduleWithFixedDelay(gate::removeExpired, 0, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        TicketIssuer ticketIssuer = new TicketIssuer(state, ledger, tickets, clock);
        return new RequestPipeline(
                requestRouter,
                refusals,
                ticketIssuer,
                List.of(crashes, claims),
                engines,
                serviceCallHandler,
                scheduler,
                new RegionLoadEstimator(state, weightedPolicy, clock),
                gate);
    }

    RequestRouter path() {
        return requestRouter;
    }

    /** Starts reporting the load of the local region and the local workspace demand at a fixed interval. */
    void startLoadReports(RegionLoadEstimator.Listener load, Consumer<List<LocalDemand>> demands) {
        Runnable report = () -> {
            loadEstimator.report(load);
            demands.accept(gate.demands());
        };
        var unused = scheduler.scheduleWithFixedDelay(
                report, ESTIMATE_INTERVAL_MS, ESTIMATE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    AdmissionGate gate() {
        return gate;
    }

    RefusalCounts refusals() {
        return refusals;
    }

    TicketIssuer ticketIssuer() {
        return ticketIssuer;
    }

    List<ControlRoutes> peerRoutes() {
        return peerRoutes;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        engines.close();
        serviceCallHandler.close();
    }
}
