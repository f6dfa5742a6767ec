package org.ibissaddle.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibissaddle.daemon.admission.AdmissionGate;
import org.ibissaddle.daemon.admission.GatedPolicy;
import org.ibissaddle.daemon.admission.RegionEstimate;
import org.ibissaddle.daemon.backend.SourceSocketFactory;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.caller.RefusalCounts;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.once.PlainServices;
import org.ibissaddle.daemon.once.TicketDesk;
import org.ibissaddle.daemon.path.HeadBinding;
import org.ibissaddle.daemon.path.ModelCalls;
import org.ibissaddle.daemon.path.RequestPath;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.peer.FreshPolicy;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.stream.CrashWatch;
import org.ibissaddle.daemon.stream.ModelAnswers;
import org.ibissaddle.daemon.stream.ModelContext;
import org.ibissaddle.daemon.stream.StreamClaims;
import org.ibissaddle.daemon.stream.StreamResumes;
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

    private final RequestPath path;
    private final RefusalCounts refusals;
    private final TicketDesk desk;
    private final List<ControlRoutes> peerRoutes;
    private final StreamClient engines;
    private final PlainServices services;
    private final ScheduledExecutorService scheduler;
    private final RegionEstimate estimate;
    private final AdmissionGate gate;

    private RequestPipeline(
            RequestPath path,
            RefusalCounts refusals,
            TicketDesk desk,
            List<ControlRoutes> peerRoutes,
            StreamClient engines,
            PlainServices services,
            ScheduledExecutorService scheduler,
            RegionEstimate estimate,
            AdmissionGate gate) {
        this.path = path;
        this.refusals = refusals;
        this.desk = desk;
        this.peerRoutes = peerRoutes;
        this.engines = engines;
        this.services = services;
        this.scheduler = scheduler;
        this.estimate = estimate;
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
        PlacementPolicy recordingPolicy = new RecordingPolicy(new GatedPolicy(weightedPolicy, gate), state.recorder());
        PlacementPolicy policy = new FreshPolicy(recordingPolicy, state, clock);
        RetryBudgets budgets = new RetryBudgets();
        StreamClient engines = new StreamClient(SourceSocketFactory.from(settings.callerAddress()));
        CrashWatch crashes = new CrashWatch(state, key, engines, clock, log);
        StreamClaims claims = new StreamClaims(state, tokens, engines, clock);
        ModelContext context = new ModelContext(
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
        PlainServices services = new PlainServices(settings, state, policy, budgets, ledger, tickets, clock, log);
        RefusalCounts refusals = new RefusalCounts(metrics);
        RequestPath path = new RequestPath(
                state,
                new HeadBinding(state, settings.region()),
                new ModelCalls(settings, state, gate, new ModelAnswers(context)),
                services,
                new StreamResumes(context),
                refusals,
                clock,
                log);
        metrics.register("once.keys", (Gauge<Long>) ledger::size);
        metrics.register("once.answer-bytes", (Gauge<Long>) ledger::answerBytes);
        metrics.register("requests.waiting", (Gauge<Integer>) gate::size);
        metrics.register("requests.open", (Gauge<Integer>) path::open);
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(
                Thread.ofVirtual().name("expiry").factory());
        var unused = scheduler.scheduleWithFixedDelay(
                () -> ledger.expire(clock.nowMs()), CLEANUP_INTERVAL_MS, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        var unusedAdvance = scheduler.scheduleWithFixedDelay(
                gate::advanceAll, ADVANCE_INTERVAL_MS, ADVANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        var unusedTidy = scheduler.scheduleWithFixedDelay(gate::tidy, 0, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        TicketDesk desk = new TicketDesk(state, ledger, tickets, clock);
        return new RequestPipeline(
                path,
                refusals,
                desk,
                List.of(crashes, claims),
                engines,
                services,
                scheduler,
                new RegionEstimate(state, weightedPolicy, clock),
                gate);
    }

    RequestPath path() {
        return path;
    }

    /** Starts reporting the load of the local region and the local workspace demand at a fixed interval. */
    void startLoadReports(RegionEstimate.Listener load, Consumer<List<LocalDemand>> demands) {
        Runnable report = () -> {
            estimate.tell(load);
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

    TicketDesk desk() {
        return desk;
    }

    List<ControlRoutes> peerRoutes() {
        return peerRoutes;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        engines.close();
        services.close();
    }
}
