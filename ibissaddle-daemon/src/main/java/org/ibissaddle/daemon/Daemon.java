package org.ibissaddle.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.daemon.caller.CallerServer;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.control.ControlServer;
import org.ibissaddle.daemon.control.DiscoveryRoute;
import org.ibissaddle.daemon.control.StatusRoute;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.peer.ControlPlane;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.daemon.timeline.TimelineRoute;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.placement.PlacementPolicies;
import org.ibissaddle.placement.PlacementTuning;
import org.ibissaddle.port.Clock;
import org.ibissaddle.timeline.EventSource;

/**
 * One running gateway instance.
 *
 * <pre>{@code
 * Settings settings = SettingsReader.read(Path.of("instance.ini"));
 * try (Daemon daemon = Daemon.start(settings, System::currentTimeMillis)) {
 *     daemon.drain();
 * }
 * }</pre>
 */
public final class Daemon implements AutoCloseable {
    private static final long DRAIN_PROPAGATION_MS = 5_000;
    private static final long POST_DRAIN_ACCEPT_MS = DiscoveryRoute.RESPONSE_VALID_MS + DRAIN_PROPAGATION_MS;
    private static final long DRAIN_POLL_MS = 50;

    private final SharedState state;
    private final RequestPipeline pipeline;
    private final CallerServer callerServer;
    private final ControlServer controlServer;
    private final ControlPlane controlPlane;
    private final Settings.Limits limits;
    private final Clock clock;
    private final EventLog log;

    private Daemon(
            SharedState state,
            RequestPipeline pipeline,
            CallerServer callerServer,
            ControlServer controlServer,
            ControlPlane controlPlane,
            Settings.Limits limits,
            Clock clock,
            EventLog log) {
        this.state = state;
        this.pipeline = pipeline;
        this.callerServer = callerServer;
        this.controlServer = controlServer;
        this.controlPlane = controlPlane;
        this.limits = limits;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Starts an instance and opens its ports.
     *
     * @param settings settings of the instance
     * @param clock time source
     * @return the running instance
     * @throws IOException if an address cannot be bound
     */
    public static Daemon start(Settings settings, Clock clock) throws IOException {
        EventLog log = new EventLog(settings.instance().name());
        MetricRegistry metrics = new MetricRegistry();
        FleetView fleetView = initialFleetView(settings, clock);
        TimelineRecorder recorder = new TimelineRecorder(origin(fleetView.self()), clock);
        SharedState state = new SharedState(fleetView, recorder);
        RequestPipeline pipeline = RequestPipeline.create(
                settings, state, PlacementPolicies.weighted(PlacementTuning.defaults()), clock, log, metrics);
        CallerServer callerServer =
                CallerServer.start(settings.callerAddress(), settings.limits(), pipeline.path(), clock);
        List<ControlRoutes> routes = new ArrayList<>(pipeline.peerRoutes());
        ControlPlane controlPlane = ControlPlane.create(settings, state, clock, log);
        routes.add(controlPlane.routes());
        routes.add(new StatusRoute(settings, state, pipeline.refusals(), pipeline.path()::openRequests, clock));
        routes.add(new DiscoveryRoute(state, pipeline.ticketIssuer(), clock));
        routes.add(new TimelineRoute(recorder));
        ControlServer controlServer = ControlServer.start(settings, state, metrics, routes);
        state.observations().setListeners(controlPlane::recordUnreachable, controlPlane::recordDraining);
        controlPlane.setGossipListener(pipeline.gate()::updatePeerDemand);
        pipeline.startLoadReports(controlPlane::recordRegionLoad, controlPlane::recordDemand);
        controlPlane.start();
        log.info("started", "caller_address", callerServer.address(), "control_address", settings.controlAddress());
        return new Daemon(state, pipeline, callerServer, controlServer, controlPlane, settings.limits(), clock, log);
    }

    private static EventSource origin(InstanceView self) {
        return new EventSource(self.id(), self.incarnation().orElseThrow(), self.region(), self.zone());
    }

    private static FleetView initialFleetView(Settings settings, Clock clock) {
        Incarnation incarnation =
                new Incarnation(clock.nowMs(), ThreadLocalRandom.current().nextLong());
        InstanceView self = new InstanceView(
                settings.instance(),
                Optional.of(incarnation),
                settings.region(),
                settings.zone(),
                settings.callerAddress(),
                settings.controlAddress(),
                Health.LIVE,
                0,
                0);
        return new FleetView(self, List.of(), List.of(), clock.nowMs());
    }

    /** Starts draining: the instance is no longer offered to new callers, and open requests run to completion. */
    public void drain() {
        state.drain();
        controlPlane.announceDrain();
        log.info("draining");
    }

    /**
     * Drains and waits until no request is open. Requests are still accepted while a discovery response or a ticket
     * that names this instance is valid. When none is open, the instance accepts no further ones, and waits for those
     * that have come in the meantime and for the transmission of their responses.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void drainUntilIdle() throws InterruptedException {
        drain();
        long acceptDeadlineMs = Math.max(
                clock.nowMs() + POST_DRAIN_ACCEPT_MS, pipeline.ticketIssuer().latestOwnDeadlineMs());
        while (clock.nowMs() < acceptDeadlineMs || pipeline.path().openRequests() > 0) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        callerServer.stopAccepting();
        long lastResponsesDeadlineMs = clock.nowMs() + limits.defaultDeadlineMs();
        while (pipeline.path().openRequests() > 0
                || (callerServer.hasConnections() && clock.nowMs() < lastResponsesDeadlineMs)) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        log.info("drained");
    }

    @Override
    public void close() {
        controlPlane.close();
        callerServer.close();
        controlServer.close();
        pipeline.close();
        log.info("stopped");
    }
}
