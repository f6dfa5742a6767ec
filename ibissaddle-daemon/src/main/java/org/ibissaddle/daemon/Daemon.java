package org.ibissaddle.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.daemon.backend.EngineClient;
import org.ibissaddle.daemon.caller.CallerServer;
import org.ibissaddle.daemon.control.AskRoute;
import org.ibissaddle.daemon.control.ControlServer;
import org.ibissaddle.daemon.control.StatusRoute;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.Binding;
import org.ibissaddle.daemon.path.LeastOutstanding;
import org.ibissaddle.daemon.path.ModelCalls;
import org.ibissaddle.daemon.path.RequestPath;
import org.ibissaddle.daemon.platform.PlatformPoller;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.port.Clock;

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
    private final SharedState state;
    private final EngineClient engines;
    private final CallerServer callers;
    private final ControlServer control;
    private final PlatformPoller platform;
    private final EventLog log;

    private Daemon(
            SharedState state,
            EngineClient engines,
            CallerServer callers,
            ControlServer control,
            PlatformPoller platform,
            EventLog log) {
        this.state = state;
        this.engines = engines;
        this.callers = callers;
        this.control = control;
        this.platform = platform;
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
        SharedState state = new SharedState(firstBeliefs(settings, clock));
        EngineClient engines =
                new EngineClient(InetAddress.getByName(settings.callerAddress().host()));
        Binding binding = new Binding(state, settings.region());
        ModelCalls models = new ModelCalls(settings, state, new LeastOutstanding(), engines, clock, log, metrics);
        RequestPath path = new RequestPath(state, binding, models, Daemon::noTicket, clock, log);
        CallerServer callers = CallerServer.start(settings.callerAddress(), settings.limits(), path, clock);
        ControlServer control = ControlServer.start(
                settings, state, metrics, List.of(new StatusRoute(settings, state), new AskRoute(state, clock)));
        PlatformPoller platform = new PlatformPoller(settings, state, text -> note(text, log), engines, clock, log);
        log.info("started", "caller_address", callers.address(), "control_address", settings.controlAddress());
        return new Daemon(state, engines, callers, control, platform, log);
    }

    private static Optional<ReleaseNote> note(String text, EventLog log) {
        try {
            return Optional.of(NoteReader.read(text));
        } catch (NoteRejectedException e) {
            log.warning("note-refused", "cause", e.getMessage());
            return Optional.empty();
        }
    }

    private static void noTicket(
            org.ibissaddle.daemon.caller.CallerRequest request,
            org.ibissaddle.note.Workspace workspace,
            org.ibissaddle.daemon.caller.CallerReply reply)
            throws RefusedException {
        throw new RefusedException(
                Refusal.of(RefusalType.TICKET_REQUIRED, "a call that may run once only needs a ticket", Fate.NOT_RUN));
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
        log.info("draining");
    }

    @Override
    public void close() {
        platform.close();
        callers.close();
        control.close();
        engines.close();
        log.info("stopped");
    }
}
