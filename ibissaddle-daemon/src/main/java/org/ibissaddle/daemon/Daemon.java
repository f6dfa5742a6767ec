package org.ibissaddle.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.daemon.caller.CallerServer;
import org.ibissaddle.daemon.control.AskRoute;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.control.ControlServer;
import org.ibissaddle.daemon.control.StatusRoute;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.peer.ControlPlane;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.Recorder;
import org.ibissaddle.daemon.timeline.TimelineRoute;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.placement.Placements;
import org.ibissaddle.placement.Tuning;
import org.ibissaddle.port.Clock;
import org.ibissaddle.timeline.Origin;

/**
 * One entry instance.
 *
 * <pre>{@code
 * Settings settings = SettingsReader.read(Path.of("instance.ini"));
 * try (Daemon daemon = Daemon.start(settings, System::currentTimeMillis)) {
 *     daemon.drain();
 * }
 * }</pre>
 */
public final class Daemon implements AutoCloseable {
    private static final long PEERS_LEARN_MS = 5_000;
    private static final long ANSWERS_VALID_MS = AskRoute.ANSWER_VALID_MS + PEERS_LEARN_MS;
    private static final long DRAIN_POLL_MS = 50;

    private final SharedState state;
    private final RequestParts parts;
    private final CallerServer callers;
    private final ControlServer control;
    private final ControlPlane plane;
    private final Clock clock;
    private final EventLog log;

    private Daemon(
            SharedState state,
            RequestParts parts,
            CallerServer callers,
            ControlServer control,
            ControlPlane plane,
            Clock clock,
            EventLog log) {
        this.state = state;
        this.parts = parts;
        this.callers = callers;
        this.control = control;
        this.plane = plane;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Starts an instance.
     *
     * @param settings its settings
     * @param clock source of time
     * @return the running instance
     * @throws IOException when an address cannot be bound
     */
    public static Daemon start(Settings settings, Clock clock) throws IOException {
        EventLog log = new EventLog(settings.instance().name());
        MetricRegistry metrics = new MetricRegistry();
        FleetView beliefs = firstBeliefs(settings, clock);
        Recorder recorder = new Recorder(origin(beliefs.self()), clock);
        SharedState state = new SharedState(beliefs, recorder);
        RequestParts parts =
                RequestParts.create(settings, state, Placements.weighted(Tuning.defaults()), clock, log, metrics);
        CallerServer callers = CallerServer.start(settings.callerAddress(), settings.limits(), parts.path(), clock);
        List<ControlRoutes> routes = new ArrayList<>(parts.peerRoutes());
        ControlPlane plane = ControlPlane.create(settings, state, clock, log);
        routes.add(plane.routes());
        routes.add(new StatusRoute(settings, state, plane::noteStatus, parts.refusals(), parts.path()::open, clock));
        routes.add(new AskRoute(state, parts.desk(), clock));
        routes.add(new TimelineRoute(recorder));
        ControlServer control = ControlServer.start(settings, state, metrics, routes);
        plane.start();
        log.info("started", "caller_address", callers.address(), "control_address", settings.controlAddress());
        return new Daemon(state, parts, callers, control, plane, clock, log);
    }

    private static Origin origin(InstanceView self) {
        return new Origin(self.id(), self.incarnation().orElseThrow(), self.region(), self.zone());
    }

    private static FleetView firstBeliefs(Settings settings, Clock clock) {
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

    /** Starts to leave: gives no new answers that name this instance, finishes what it has. */
    public void drain() {
        state.drain();
        plane.leave();
        log.info("draining");
    }

    /**
     * Leaves: drains, serves what still comes while given-out answers and tickets are valid, and waits until no request
     * is open.
     *
     * @throws InterruptedException when the wait is interrupted
     */
    public void drainUntilIdle() throws InterruptedException {
        drain();
        long acceptUntilMs =
                Math.max(clock.nowMs() + ANSWERS_VALID_MS, parts.desk().ownTicketsUntilMs());
        while (clock.nowMs() < acceptUntilMs || parts.path().open() > 0) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        log.info("drained");
    }

    @Override
    public void close() {
        plane.close();
        callers.close();
        control.close();
        parts.close();
        log.info("stopped");
    }
}
