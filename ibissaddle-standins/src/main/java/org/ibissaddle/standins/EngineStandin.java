package org.ibissaddle.standins;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.standins.internal.IncarnationGenerator;
import org.ibissaddle.standins.internal.JsonCodec;
import org.ibissaddle.standins.internal.engine.AnswerWriter;
import org.ibissaddle.standins.internal.engine.CompletionRequest;
import org.ibissaddle.standins.internal.engine.DelayedExecutor;
import org.ibissaddle.standins.internal.engine.EngineCore;
import org.ibissaddle.standins.internal.engine.EngineCounters;
import org.ibissaddle.standins.internal.engine.EventStream;
import org.ibissaddle.standins.internal.engine.Generation;
import org.ibissaddle.standins.internal.engine.JsonAnswer;
import org.ibissaddle.standins.internal.engine.KvTransfer;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/**
 * Stand-in for a model engine with continuous batching and a prefix cache. Answers come from {@link ResponseText}, so
 * every engine returns the same answer to the same request. {@code max_tokens} limits the whole answer, including the
 * prefix given in {@code continue_text}.
 */
public final class EngineStandin extends HttpStandin {
    private static final int KILLED_EXIT_CODE = 137;

    private final EngineOptions options;
    private final EngineCounters counters = new EngineCounters();
    private final DelayedExecutor delayedExecutor = this::runAt;
    private EngineCore core;
    private long incarnation;
    private long unnamedRequests;
    private volatile boolean hasCrashed;

    /** Creates an engine; {@link #start()} opens its port. */
    public EngineStandin(EngineOptions options, EventLoopGroup group) {
        super(options.name(), options.port(), group);
        this.options = options;
        this.core = newCore();
    }

    @Override
    public void start() throws StandinStartException {
        hasCrashed = false;
        super.start();
    }

    @Override
    public void close() {
        onLoop(() -> {
            core.stop();
            return true;
        });
        super.close();
    }

    /** Restarts on the same port, with an empty cache and a higher incarnation number. */
    public void restart() throws StandinStartException {
        close();
        onLoop(() -> core = newCore());
        start();
    }

    /** Returns whether the engine has crashed and has not been restarted since. */
    public boolean hasCrashed() {
        return hasCrashed;
    }

    /** Crashes the engine: resets all connections and closes the port, or terminates the process if so configured. */
    public void crash() {
        onLoop(() -> {
            crashOnLoop();
            return true;
        });
    }

    /** Replaces the active faults. */
    public void setFaults(EngineFaults faults) {
        onLoop(() -> {
            core.setFaults(faults);
            return true;
        });
    }

    /** Returns the active faults. */
    public EngineFaults faults() {
        return onLoop(() -> core.faults());
    }

    /** Returns the activity counters since the engine was created. */
    public EngineStats stats() {
        return onLoop(counters::snapshot);
    }

    @Override
    protected void handle(HttpExchange exchange) throws RequestRejectedException {
        List<String> path = exchange.segments();
        switch (path.getFirst()) {
            case "v1" -> handleModelRequest(exchange);
            case "load" -> exchange.reply(Reply.json(200, core.load()));
            case "cache-events" -> {
                long after = exchange.queryNumber("after").orElse(0L);
                exchange.reply(Reply.json(200, core.cacheEvents(after)));
            }
            case "orders" -> handleOrder(exchange);
            case "kv" -> handleKvBlock(exchange, path.getLast());
            case "control" -> handleControl(exchange);
            case "stats" -> exchange.reply(Reply.json(200, counters.snapshot()));
            default -> throw unknownEndpoint(exchange);
        }
    }

    private void handleModelRequest(HttpExchange exchange) throws RequestRejectedException {
        switch (exchange.path()) {
            case "/v1/chat/completions" -> handleCompletion(exchange, true);
            case "/v1/completions" -> handleCompletion(exchange, false);
            case "/v1/models" ->
                exchange.reply(Reply.json(200, ModelList.of(core.residency().models())));
            default -> handleStream(exchange);
        }
    }

    private void handleCompletion(HttpExchange exchange, boolean chat) throws RequestRejectedException {
        CompletionRequest request = CompletionRequest.of(exchange, chat, "unnamed-" + unnamedRequests++);
        core.checkAdmission(request);
        Generation generation = core.submit(request);
        if (request.stream()) {
            attach(
                    generation,
                    exchange,
                    openStream(generation, exchange, request.continueText().length()));
            return;
        }
        attach(
                generation,
                exchange,
                new JsonAnswer(generation, exchange, core.consumeStreamFaults(generation), delayedExecutor));
    }

    private void handleStream(HttpExchange exchange) throws RequestRejectedException {
        List<String> path = exchange.segments();
        if (path.size() != 3 || !path.get(1).equals("streams")) {
            throw unknownEndpoint(exchange);
        }
        String id = path.getLast();
        Generation generation = core.find(id)
                .orElseThrow(() -> RequestRejectedException.notFound(
                        "stream \"" + id + "\" is unknown to server \"" + options.name() + "\""));
        if (exchange.method().equals("DELETE")) {
            core.cancel(generation);
            exchange.reply(Reply.empty(204));
            return;
        }
        resumeStream(exchange, generation);
    }

    private void resumeStream(HttpExchange exchange, Generation generation) throws RequestRejectedException {
        long offset = exchange.queryNumber("offset").orElse(0L);
        if (generation.isBadOffset(offset)) {
            throw RequestRejectedException.badRequest("offset " + offset + " of stream \""
                    + generation.request().id() + "\" is outside its answer or splits a character");
        }
        attach(generation, exchange, openStream(generation, exchange, (int) offset));
    }

    private EventStream openStream(Generation generation, HttpExchange exchange, int offset) {
        return EventStream.open(generation, exchange, core.consumeStreamFaults(generation), offset, delayedExecutor);
    }

    private void attach(Generation generation, HttpExchange exchange, AnswerWriter writer) {
        EngineCore current = core;
        generation.attach(writer);
        exchange.onClose(() -> current.connectionLost(generation, writer));
        writer.advance();
    }

    private void handleOrder(HttpExchange exchange) throws RequestRejectedException {
        EngineOrder order = JsonCodec.parse(exchange.body(), EngineOrder.class);
        core.residency().accept(order);
        EngineCore current = core;
        schedule(options.orderDelayMs(), () -> applyOrder(exchange, current, order));
    }

    private void applyOrder(HttpExchange exchange, EngineCore current, EngineOrder order) {
        try {
            current.residency().accept(order);
            current.residency().apply(order);
        } catch (RequestRejectedException e) {
            exchange.reply(e.toReply());
            return;
        }
        counters.recordOrder(order);
        current.recordLoad();
        exchange.reply(Reply.json(200, new Applied(true)));
    }

    private void handleKvBlock(HttpExchange exchange, String block) throws RequestRejectedException {
        if (exchange.method().equals("PUT")) {
            core.cache().store(KvTransfer.parse(block, exchange.body()));
            core.recordLoad();
            exchange.reply(Reply.empty(204));
            return;
        }
        List<String> chain = core.cache()
                .chain(block)
                .orElseThrow(() -> RequestRejectedException.notFound(
                        "block \"" + block + "\" is not cached on server \"" + options.name() + "\""));
        exchange.reply(Reply.bytes(200, KvTransfer.export(chain, options.kvBytesPerBlock())));
    }

    private void handleControl(HttpExchange exchange) throws RequestRejectedException {
        core.setFaults(JsonCodec.merge(core.faults(), exchange.body(), EngineFaults.class));
        exchange.reply(Reply.json(200, core.faults()));
    }

    private EngineCore newCore() {
        incarnation = IncarnationGenerator.next(incarnation);
        return new EngineCore(options, loop(), counters, incarnation, this::crashOnLoop);
    }

    private void crashOnLoop() {
        if (options.haltOnCrash()) {
            Runtime.getRuntime().halt(KILLED_EXIT_CODE);
        }
        core.stop();
        counters.countCrash();
        abort();
        hasCrashed = true;
    }

    private void runAt(long atMs, Runnable action) {
        long delayMs = atMs - System.currentTimeMillis();
        if (delayMs <= 0) {
            action.run();
            return;
        }
        var unused = loop().schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private static RequestRejectedException unknownEndpoint(HttpExchange exchange) {
        return RequestRejectedException.notFound(
                "endpoint \"" + exchange.method() + " " + exchange.path() + "\" does not exist");
    }

    private record Applied(boolean applied) {}

    private record ModelList(String object, List<Model> data) {
        static ModelList of(List<String> ids) {
            return new ModelList(
                    "list", ids.stream().map(id -> new Model(id, "model")).toList());
        }
    }

    private record Model(String id, String object) {}
}
