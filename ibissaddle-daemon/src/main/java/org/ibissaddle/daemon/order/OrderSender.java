package org.ibissaddle.daemon.order;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.peer.ControlPlane;
import org.ibissaddle.daemon.peer.HttpCalls;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.Event;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.order.Order;
import org.ibissaddle.order.OrderInputs;
import org.ibissaddle.order.OrderOutcome;
import org.ibissaddle.order.OrderPlanner;
import org.ibissaddle.port.Clock;

/** Gives the planned orders to engines and reads back what they hold. */
public final class OrderSender {
    /** How often orders are planned, milliseconds. */
    public static final long INTERVAL_MS = 1_000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FRESH_MS = 30_000;
    private static final long TIMEOUT_MS = 10_000;
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final OrderPlanner planner;
    private final HttpCalls http;
    private final Clock clock;
    private final EventLog log;
    private final Consumer<Event> events;

    /**
     * Creates the sender of an instance.
     *
     * @param settings its settings
     * @param http sends the orders
     * @param clock source of time
     * @param log log of the instance
     * @param events takes what was read back
     */
    public OrderSender(Settings settings, HttpCalls http, Clock clock, EventLog log, Consumer<Event> events) {
        this.planner = OrderPlanner.create(settings.instance(), settings.region());
        this.http = http;
        this.clock = clock;
        this.log = log;
        this.events = events;
    }

    /**
     * Plans and gives orders; to be called on the loop's thread.
     *
     * @param loop note and beliefs
     * @param calls runs the calls
     * @param loopThread runs what follows on the loop's thread
     */
    public void plan(ControlLoop loop, Executor calls, Executor loopThread) {
        long nowMs = clock.nowMs();
        if (!loop.ready() || loop.list().isEmpty() || ControlLoop.outdated(loop.view(nowMs), nowMs)) {
            return;
        }
        NoteStatus status = loop.notes().status(nowMs);
        boolean fresh = !status.behind()
                && status.freshAtMs().filter(at -> nowMs - at < FRESH_MS).isPresent();
        OrderInputs inputs = new OrderInputs(
                loop.notes().inForce().orElseThrow(),
                status.acceptedAtMs(),
                fresh,
                loop.list().get(),
                loop.view(nowMs));
        for (Order order : planner.plan(inputs, nowMs)) {
            calls.execute(() -> {
                OrderOutcome outcome = give(order);
                loopThread.execute(() -> planner.outcome(order, outcome, clock.nowMs()));
            });
        }
    }

    private OrderOutcome give(Order order) {
        if (clock.nowMs() > order.validUntilMs()) {
            return OrderOutcome.FAILED;
        }
        OrderOutcome outcome = send(order);
        log.info(
                "order",
                "server",
                order.server(),
                "kind",
                order.kind(),
                "model",
                order.model(),
                "token",
                order.token().value(),
                "outcome",
                outcome);
        ControlPlane.readLoad(http, new ServerPoll(order.server(), order.address()), clock)
                .ifPresent(events);
        return outcome;
    }

    private OrderOutcome send(Order order) {
        try {
            byte[] body = JSON.writeValueAsBytes(json(order));
            int status = http.post(order.address(), "/orders", Map.of(), body, "X-Ran", TIMEOUT_MS)
                    .status();
            return switch (status) {
                case OK -> OrderOutcome.APPLIED;
                case CONFLICT -> OrderOutcome.STALE_TOKEN;
                default -> OrderOutcome.FAILED;
            };
        } catch (IOException e) {
            return OrderOutcome.FAILED;
        }
    }

    private static ObjectNode json(Order order) {
        ObjectNode json = JSON.createObjectNode()
                .put("token", order.token().value())
                .put("kind", order.kind().name().toLowerCase(Locale.ROOT))
                .put("model", order.model().model())
                .put("version", order.model().version());
        order.adapter().ifPresent(adapter -> json.put("adapter", adapter.name()));
        return json;
    }
}
