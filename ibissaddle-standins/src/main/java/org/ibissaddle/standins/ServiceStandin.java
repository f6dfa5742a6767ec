package org.ibissaddle.standins;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.TreeMap;
import org.ibissaddle.standins.internal.IncarnationGenerator;
import org.ibissaddle.standins.internal.JsonCodec;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** Stand-in for a plain service that counts request executions by idempotency key. */
public final class ServiceStandin extends HttpStandin {
    /** The key under which requests without an {@code Idempotency-Key} header are counted. */
    public static final String NO_KEY = "none";

    private final Map<String, Integer> executionCounts = new TreeMap<>();
    private ServiceFaults faults = ServiceFaults.none();
    private long incarnation;
    private int running;

    /** Creates a service; {@link #start()} opens its port. */
    public ServiceStandin(ServiceOptions options, EventLoopGroup group) {
        super(options.name(), options.port(), group);
    }

    @Override
    public void start() throws StandinStartException {
        incarnation = IncarnationGenerator.next(incarnation);
        super.start();
    }

    /** Replaces the active faults. */
    public void setFaults(ServiceFaults next) {
        onLoop(() -> faults = next);
    }

    /** Returns the active faults. */
    public ServiceFaults faults() {
        return onLoop(() -> faults);
    }

    /** Returns the number of executed requests by idempotency key. */
    public Map<String, Integer> executionCounts() {
        return onLoop(() -> Map.copyOf(executionCounts));
    }

    @Override
    protected long idleTimeoutMs() {
        return faults.closeIdleAfterMs();
    }

    @Override
    protected void handle(HttpExchange exchange) throws RequestRejectedException {
        switch (exchange.path()) {
            case "/_arrivals" -> exchange.reply(Reply.json(200, executionCounts));
            case "/load" -> exchange.reply(Reply.json(200, load()));
            case "/control" -> handleControl(exchange);
            default -> execute(exchange);
        }
    }

    private void handleControl(HttpExchange exchange) throws RequestRejectedException {
        faults = JsonCodec.merge(faults, exchange.body(), ServiceFaults.class);
        exchange.reply(Reply.json(200, faults));
    }

    private Load load() {
        return new Load(name(), incarnation, System.currentTimeMillis(), running, 0, faults.drain());
    }

    private void execute(HttpExchange exchange) throws RequestRejectedException {
        if (faults.drain()) {
            throw new RequestRejectedException(
                    503, "draining", ExecutionOutcome.NOT_RUN, "server \"" + name() + "\" is draining");
        }
        String key = exchange.header("Idempotency-Key").orElse(NO_KEY);
        int arrival = executionCounts.merge(key, 1, Integer::sum);
        running++;
        schedule(faults.delayMs(), () -> answer(exchange, key, arrival));
    }

    private void answer(HttpExchange exchange, String key, int arrival) {
        running--;
        if (faults.closeBeforeAnswer() > 0) {
            faults = faults.withCloseBeforeAnswer(faults.closeBeforeAnswer() - 1);
            exchange.close();
            return;
        }
        exchange.reply(withRequestId(exchange, createReply(exchange, key, arrival)));
    }

    private Reply createReply(HttpExchange exchange, String key, int arrival) {
        if (faults.retryAfter503() > 0) {
            faults = faults.withRetryAfter503(faults.retryAfter503() - 1);
            return Reply.empty(503).withHeader("Retry-After", "0");
        }
        if (faults.redirect307() > 0) {
            faults = faults.withRedirect307(faults.redirect307() - 1);
            return Reply.empty(307).withHeader("Location", exchange.path());
        }
        return Reply.json(200, new Answer(name(), key, arrival, exchange.body().length));
    }

    private record Answer(String service, String key, int arrival, int echoBytes) {}

    private record Load(String server, long incarnation, long atMs, int running, int queued, boolean draining) {}
}
