package org.ibissaddle.daemon.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.ibissaddle.daemon.backend.LocalAddressSocketFactory;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.order.OrderSender;
import org.ibissaddle.daemon.platform.PlatformClient;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.ControlLoopAction;
import org.ibissaddle.membership.ControlLoopEvent;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.ListAnswer;
import org.ibissaddle.membership.LocalDemand;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.membership.NoteAnswer;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.note.NoteFault;
import org.ibissaddle.note.NoteOfferResult;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Keeps the release note and the fleet view of an instance up to date.
 *
 * <pre>{@code
 * ControlPlane plane = ControlPlane.create(settings, state, clock, log);
 * routes.addAll(plane.routes());             // before the control port is opened
 * plane.start();
 * }</pre>
 */
public final class ControlPlane implements AutoCloseable {
    private static final long POLL_TIMEOUT_MS = 1_000;

    private final StatePublisher publisher;
    private final Clock clock;
    private final EventLog log;
    private final ControlHttpClient http;
    private final PeerClient peers;
    private final PlatformClient platform;
    private final ControlLoopRunner runner;
    private final DeploymentKey key;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicReference<Consumer<Gossip>> gossipListener = new AtomicReference<>(gossip -> {});

    private ControlPlane(Settings settings, SharedState state, Clock clock, EventLog log) {
        this.publisher = new StatePublisher(state);
        this.clock = clock;
        this.log = log;
        this.key = settings.deploymentKey();
        this.http = new ControlHttpClient(LocalAddressSocketFactory.from(settings.callerAddress()));
        this.peers = new PeerClient(http, key);
        this.platform = new PlatformClient(http, settings.platform(), log);
        Incarnation incarnation = state.fleet().self().incarnation().orElseThrow();
        LocalInstance self = new LocalInstance(
                settings.instance(),
                incarnation,
                settings.region(),
                settings.zone(),
                settings.callerAddress(),
                settings.controlAddress());
        ControlLoop loop = ControlLoop.create(self, settings.seeds(), ThreadLocalRandom.current(), clock.nowMs());
        this.runner = new ControlLoopRunner(loop, clock, log, this::perform);
        OrderSender orders = new OrderSender(settings, http, clock, log, this::submit);
        runner.scheduleEvery(OrderSender.INTERVAL_MS, () -> orders.plan(loop, calls, runner::execute));
    }

    /**
     * Creates the control plane of an instance.
     *
     * @param settings settings of the instance
     * @param state where the release note and the fleet view are published
     * @param clock time source
     * @param log event log of the instance
     * @return the control plane, not started yet
     */
    public static ControlPlane create(Settings settings, SharedState state, Clock clock, EventLog log) {
        return new ControlPlane(settings, state, clock, log);
    }

    /**
     * Returns the routes that serve peers.
     *
     * @return routes of the control port
     */
    public ControlRoutes routes() {
        return new PeerRoutes(runner, key, gossip -> gossipListener.get().accept(gossip));
    }

    /** Starts the control loop. */
    public void start() {
        runner.start();
    }

    /** Announces to peers that this instance is draining. */
    public void announceDrain() {
        submit(new ControlLoopEvent.Leave());
    }

    /**
     * Records that a request could not reach a backend server.
     *
     * @param server the backend server
     */
    public void recordUnreachable(ServerId server) {
        submit(new ControlLoopEvent.Unreachable(server));
    }

    /**
     * Records that a backend server refused a request because it is draining.
     *
     * @param server the backend server
     */
    public void recordDraining(ServerId server) {
        submit(new ControlLoopEvent.ServerLeaving(server));
    }

    /**
     * Records the load estimate of the local region.
     *
     * @param load predicted wait divided by the target wait; 1 means full
     * @param spare capacity offered to other regions, tokens per second
     */
    public void recordRegionLoad(double load, double spare) {
        submit(new ControlLoopEvent.Estimated(load, spare));
    }

    /**
     * Records the demand of workspaces at this instance.
     *
     * @param demands demand to report to peers
     */
    public void recordDemand(List<LocalDemand> demands) {
        submit(new ControlLoopEvent.Demanded(demands));
    }

    /**
     * Sets an additional listener for gossip messages of peers.
     *
     * @param listener receives each message
     */
    public void setGossipListener(Consumer<Gossip> listener) {
        gossipListener.set(listener);
    }

    private void submit(ControlLoopEvent event) {
        runner.submit(event);
    }

    private void perform(ControlLoop loop, List<ControlLoopAction> actions) {
        actions.forEach(this::execute);
        publisher.publish(loop, clock.nowMs());
    }

    private void execute(ControlLoopAction action) {
        switch (action) {
            case ControlLoopAction.Exchange exchange -> runAsync(() -> exchangeGossip(exchange));
            case ControlLoopAction.PollServer poll -> runAsync(() -> pollServer(poll.poll()));
            case ControlLoopAction.ReadValue read ->
                runAsync(() ->
                        submit(platform.readValue(read.name(), read.afterRevision(), remainingMs(read.untilMs()))));
            case ControlLoopAction.ReadList read ->
                runAsync(() -> submit(platform.readInstanceList(read.afterRevision(), remainingMs(read.untilMs()))));
            case ControlLoopAction.RequestNote request -> runAsync(() -> requestNote(request));
            case ControlLoopAction.RequestList request -> runAsync(() -> requestList(request));
            case ControlLoopAction.ReportNoteOutcome announce -> logNoteOutcome(announce.outcome());
        }
    }

    private void runAsync(Runnable task) {
        try {
            calls.execute(task);
        } catch (RejectedExecutionException e) {
            log.debug("call-after-close");
        }
    }

    private long remainingMs(long untilMs) {
        return Math.max(0, untilMs - clock.nowMs());
    }

    private void exchangeGossip(ControlLoopAction.Exchange action) {
        try {
            Gossip answer = peers.request(action.peer().control(), PeerRoutes.GOSSIP, action.message(), Gossip.class);
            gossipListener.get().accept(answer);
            submit(new ControlLoopEvent.Answered(action.peer(), answer));
        } catch (IOException | MessageRejectedException e) {
            log.debug("peer-silent", "peer", action.peer().control(), "cause", e.getMessage());
            submit(new ControlLoopEvent.Unanswered(action.peer(), ControlLoopEvent.PeerRequestType.EXCHANGE));
        }
    }

    private void requestNote(ControlLoopAction.RequestNote action) {
        try {
            NoteAnswer answer =
                    peers.request(action.peer().control(), PeerRoutes.NOTE, action.request(), NoteAnswer.class);
            submit(new ControlLoopEvent.NoteAnswered(action.peer(), action.request(), answer));
        } catch (IOException | MessageRejectedException e) {
            log.debug("peer-silent", "peer", action.peer().control(), "cause", e.getMessage());
            submit(new ControlLoopEvent.Unanswered(action.peer(), ControlLoopEvent.PeerRequestType.NOTE));
        }
    }

    private void requestList(ControlLoopAction.RequestList action) {
        try {
            ListAnswer answer =
                    peers.request(action.peer().control(), PeerRoutes.LIST, action.request(), ListAnswer.class);
            submit(new ControlLoopEvent.ListAnswered(action.peer(), action.request(), answer));
        } catch (IOException | MessageRejectedException e) {
            log.debug("peer-silent", "peer", action.peer().control(), "cause", e.getMessage());
            submit(new ControlLoopEvent.Unanswered(action.peer(), ControlLoopEvent.PeerRequestType.LIST));
        }
    }

    private void pollServer(ServerPoll poll) {
        readLoad(http, poll, clock)
                .ifPresentOrElse(this::submit, () -> submit(new ControlLoopEvent.Unreachable(poll.server())));
    }

    /** Requests the load of a backend server; empty if it does not respond successfully. */
    public static Optional<ControlLoopEvent> readLoad(ControlHttpClient http, ServerPoll poll, Clock clock) {
        try {
            ControlHttpClient.ControlResponse answer = http.get(poll.address(), "/load", "X-Ran", POLL_TIMEOUT_MS);
            return answer.status() == 200
                    ? Optional.of(new ControlLoopEvent.Reported(
                            LoadReportParser.parse(poll.server(), answer.body(), clock.nowMs())))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void logNoteOutcome(NoteOfferResult outcome) {
        switch (outcome) {
            case NoteOfferResult.Accepted accepted ->
                log.info(
                        "note-accepted",
                        "number",
                        accepted.note().number(),
                        "digest",
                        accepted.note().digest(),
                        "source",
                        accepted.source());
            case NoteOfferResult.Conflict conflict ->
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
            case NoteOfferResult.Refused refused ->
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
            case NoteOfferResult.AlreadyInForce same -> log.debug("note-unchanged", "number", same.number());
            case NoteOfferResult.Older older -> log.debug("note-older", "number", older.number());
        }
    }

    @Override
    public void close() {
        runner.close();
        calls.shutdownNow();
        http.close();
    }
}
