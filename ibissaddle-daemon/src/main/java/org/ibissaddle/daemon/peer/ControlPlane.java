package org.ibissaddle.daemon.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.daemon.backend.SourceSocketFactory;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.order.OrderSender;
import org.ibissaddle.daemon.platform.PlatformClient;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.membership.Action;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.Event;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.Self;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.note.NoteFault;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.note.Offered;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Keeps the note and the beliefs of an instance up to date.
 *
 * <pre>{@code
 * ControlPlane plane = ControlPlane.create(settings, state, clock, log);
 * routes.addAll(plane.routes());             // before the control port opens
 * plane.start();
 * }</pre>
 */
public final class ControlPlane implements AutoCloseable {
    private static final long POLL_TIMEOUT_MS = 1_000;
    private static final long MIN_VIEW_MS = ControlLoop.TICK_MS / 2;

    private final SharedState state;
    private final Clock clock;
    private final EventLog log;
    private final HttpCalls http;
    private final PeerClient peers;
    private final PlatformClient platform;
    private final LoopRunner runner;
    private final DeploymentKey key;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private volatile NoteStatus noteStatus;
    private boolean wasReady;
    private long viewedAtMs;

    private ControlPlane(Settings settings, SharedState state, Clock clock, EventLog log) {
        this.state = state;
        this.clock = clock;
        this.log = log;
        this.key = DeploymentKey.of(settings.deploymentKey().bytes());
        this.http = new HttpCalls(SourceSocketFactory.from(settings.callerAddress()));
        this.peers = new PeerClient(http, key);
        this.platform = new PlatformClient(http, settings.platform());
        Incarnation incarnation = state.fleet().self().incarnation().orElseThrow();
        Self self = new Self(
                settings.instance(),
                incarnation,
                settings.region(),
                settings.zone(),
                settings.callerAddress(),
                settings.controlAddress());
        ControlLoop loop = ControlLoop.create(self, settings.seeds(), ThreadLocalRandom.current(), clock.nowMs());
        this.noteStatus = loop.notes().status(clock.nowMs());
        this.runner = new LoopRunner(loop, clock, log, this::perform);
        OrderSender orders = new OrderSender(settings, http, clock, log, this::tell);
        runner.every(OrderSender.INTERVAL_MS, () -> orders.plan(loop, calls, runner::run));
    }

    /**
     * Creates the control plane of an instance.
     *
     * @param settings its settings
     * @param state where note and beliefs are published
     * @param clock source of time
     * @param log log of the instance
     * @return the control plane, not yet running
     */
    public static ControlPlane create(Settings settings, SharedState state, Clock clock, EventLog log) {
        return new ControlPlane(settings, state, clock, log);
    }

    /**
     * Returns the routes for peers.
     *
     * @return routes of the control port
     */
    public ControlRoutes routes() {
        return new PeerRoutes(runner, key);
    }

    /** Starts to read and talk. */
    public void start() {
        runner.start();
    }

    /**
     * Returns what operators see of the note.
     *
     * @return number, digest, source, freshness and trouble
     */
    public NoteStatus noteStatus() {
        return noteStatus;
    }

    /** Tells peers that this instance leaves. */
    public void leave() {
        tell(new Event.Leave());
    }

    /**
     * Records that a request found a server unreachable.
     *
     * @param server the server
     */
    public void unreachable(ServerId server) {
        tell(new Event.Unreachable(server));
    }

    /**
     * Records that a server refused a request because it leaves.
     *
     * @param server the server
     */
    public void leaving(ServerId server) {
        tell(new Event.ServerLeaving(server));
    }

    /**
     * Records the own estimate of the own region.
     *
     * @param load predicted wait over target, 1 is full
     * @param spare capacity offered to other regions, tokens per second
     */
    public void estimated(double load, double spare) {
        tell(new Event.Estimated(load, spare));
    }

    private void tell(Event event) {
        runner.tell(event);
    }

    private void perform(ControlLoop loop, List<Action> actions) {
        long nowMs = clock.nowMs();
        actions.forEach(this::perform);
        if (loop.ready()) {
            boolean first = !wasReady;
            wasReady = true;
            loop.notes()
                    .inForce()
                    .filter(note -> first || state.note().filter(note::equals).isEmpty())
                    .ifPresent(state::putInForce);
        }
        if (Math.abs(nowMs - viewedAtMs) >= MIN_VIEW_MS) {
            viewedAtMs = nowMs;
            noteStatus = loop.notes().status(nowMs);
            state.believe(loop.view(nowMs));
        }
    }

    private void perform(Action action) {
        switch (action) {
            case Action.Exchange exchange -> call(() -> exchange(exchange));
            case Action.PollServer poll -> call(() -> poll(poll.poll()));
            case Action.ReadValue read ->
                call(() -> tell(platform.value(read.name(), read.afterRevision(), waitMs(read.untilMs()))));
            case Action.ReadList read -> call(() -> tell(platform.list(read.afterRevision(), waitMs(read.untilMs()))));
            case Action.AskNote ask -> call(() -> ask(ask));
            case Action.AskList ask -> call(() -> ask(ask));
            case Action.Announce announce -> announce(announce.outcome());
        }
    }

    private void call(Runnable work) {
        try {
            calls.execute(work);
        } catch (RejectedExecutionException e) {
            log.fine("call-after-close");
        }
    }

    private long waitMs(long untilMs) {
        return Math.max(0, untilMs - clock.nowMs());
    }

    private void exchange(Action.Exchange action) {
        try {
            Gossip answer = peers.ask(action.peer().control(), PeerRoutes.GOSSIP, action.message(), Gossip.class);
            tell(new Event.Answered(action.peer(), answer));
        } catch (IOException | MessageRejectedException e) {
            log.fine("peer-silent", "peer", action.peer().control(), "cause", e.getMessage());
            tell(new Event.Unanswered(action.peer(), Event.Kind.EXCHANGE));
        }
    }

    private void ask(Action.AskNote action) {
        try {
            NoteAnswer answer = peers.ask(action.peer().control(), PeerRoutes.NOTE, action.request(), NoteAnswer.class);
            tell(new Event.NoteAnswered(action.peer(), action.request(), answer));
        } catch (IOException | MessageRejectedException e) {
            log.fine("peer-silent", "peer", action.peer().control(), "cause", e.getMessage());
            tell(new Event.Unanswered(action.peer(), Event.Kind.NOTE));
        }
    }

    private void ask(Action.AskList action) {
        try {
            ListAnswer answer = peers.ask(action.peer().control(), PeerRoutes.LIST, action.request(), ListAnswer.class);
            tell(new Event.ListAnswered(action.peer(), action.request(), answer));
        } catch (IOException | MessageRejectedException e) {
            log.fine("peer-silent", "peer", action.peer().control(), "cause", e.getMessage());
            tell(new Event.Unanswered(action.peer(), Event.Kind.LIST));
        }
    }

    private void poll(ServerPoll poll) {
        readLoad(http, poll, clock).ifPresentOrElse(this::tell, () -> tell(new Event.Unreachable(poll.server())));
    }

    /** Asks a server for its load; empty when it does not answer. */
    public static Optional<Event> readLoad(HttpCalls http, ServerPoll poll, Clock clock) {
        try {
            HttpCalls.Answer answer = http.get(poll.address(), "/load", "X-Ran", POLL_TIMEOUT_MS);
            return answer.status() == 200
                    ? Optional.of(new Event.Reported(LoadReader.read(poll.server(), answer.body(), clock.nowMs())))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void announce(Offered outcome) {
        switch (outcome) {
            case Offered.Accepted accepted ->
                log.info(
                        "note-accepted",
                        "number",
                        accepted.note().number(),
                        "digest",
                        accepted.note().digest(),
                        "source",
                        accepted.source());
            case Offered.Conflict conflict ->
                log.warning(
                        "note-conflict",
                        "number",
                        conflict.number(),
                        "in_force",
                        conflict.inForce(),
                        "offered",
                        conflict.offered(),
                        "source",
                        conflict.source());
            case Offered.Refused refused ->
                log.warning(
                        "note-refused",
                        "source",
                        refused.source(),
                        "faults",
                        refused.faults().size(),
                        "first",
                        refused.faults().stream()
                                .findFirst()
                                .map(NoteFault::message)
                                .orElse(""));
            case Offered.AlreadyInForce same -> log.fine("note-unchanged", "number", same.number());
            case Offered.Older older -> log.fine("note-older", "number", older.number());
        }
    }

    @Override
    public void close() {
        runner.close();
        calls.shutdownNow();
        http.close();
    }
}
