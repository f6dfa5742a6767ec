package org.ibissaddle.daemon.order;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.peer.ControlHttpClient;
import org.ibissaddle.daemon.peer.ControlPlane;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.ControlLoopEvent;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.order.Order;
import org.ibissaddle.order.OrderInputs;
import org.ibissaddle.order.OrderOutcome;
import org.ibissaddle.order.OrderPlanner;
import org.ibissaddle.port.Clock;

/** Sends planned orders to the inference engines and reads back their load reports. */
public final class OrderSender {
    /** Interval between planning runs, in milliseconds. */
    public static final long INTERVAL_MS = 1_000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NOTE_FRESH_MS = 30_000;
    private static final long ORDER_TIMEOUT_MS = 10_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;

    private final OrderPlanner planner;
    private final ControlHttpClient http;
    private final Clock clock;
    private final EventLog log;
    private final Consumer<ControlLoopEvent> events;

    /**
     * Creates the order sender of an instance.
     *
     * @param settings settings of the instance
     * @param http HTTP client for the orders
     * @param clock time source
     * @param log event log of the instance
     * @param events receives the load reports that are read back
     */
    public OrderSender(
            Settings settings, ControlHttpClient http, Clock clock, EventLog log, Consumer<ControlLoopEvent> events) {
        this.planner = OrderPlanner.create(settings.instance(), settings.region());
        this.http = http;
        this.clock = clock;
        this.log = log;
        this.events = events;
    }

    /**
     * Plans orders and sends them. Must be called on the control loop thread.
     *
     * @param loop source of the release note and the fleet view
     * @param callExecutor runs the HTTP calls
     * @param loopExecutor runs tasks on the control loop thread
     */
    public void plan(ControlLoop loop, Executor callExecutor, Executor loopExecutor) {
        long nowMs = clock.nowMs();
        if (!loop.isReady() || loop.list().isEmpty() || ControlLoop.isOutdated(loop.view(nowMs), nowMs)) {
            return;
        }
        NoteStatus status = loop.notes().status(nowMs);
        boolean noteFresh = !status.behind()
                && status.freshAtMs().filter(at -> nowMs - at < NOTE_FRESH_MS).isPresent();
        OrderInputs inputs = new OrderInputs(
                loop.notes().inForce().orElseThrow(),
                status.acceptedAtMs(),
                noteFresh,
                loop.list().get(),
                loop.view(nowMs));
        for (Order order : planner.plan(inputs, nowMs)) {
            callExecutor.execute(() -> {
                OrderOutcome outcome = execute(order);
                loopExecutor.execute(() -> planner.recordOutcome(order, outcome, clock.nowMs()));
            });
        }
    }

    private OrderOutcome execute(Order order) {
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
            byte[] body = JSON.writeValueAsBytes(toJson(order));
            int status = http.post(order.address(), "/orders", Map.of(), body, "X-Ran", ORDER_TIMEOUT_MS)
                    .status();
            return switch (status) {
                case HTTP_OK -> OrderOutcome.APPLIED;
                case HTTP_CONFLICT -> OrderOutcome.STALE_TOKEN;
                default -> OrderOutcome.FAILED;
            };
        } catch (IOException e) {
            return OrderOutcome.FAILED;
        }
    }

    private static ObjectNode toJson(Order order) {
        ObjectNode json = JSON.createObjectNode()
                .put("token", order.token().value())
                .put("kind", order.kind().name().toLowerCase(Locale.ROOT))
                .put("model", order.model().model())
                .put("version", order.model().version());
        order.adapter().ifPresent(adapter -> json.put("adapter", adapter.name()));
        return json;
    }
}
