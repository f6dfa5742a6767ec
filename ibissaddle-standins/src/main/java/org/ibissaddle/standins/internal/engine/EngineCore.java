package org.ibissaddle.standins.internal.engine;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.PromptBlocks;
import org.ibissaddle.standins.internal.LaggedHistory;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** The state of one engine incarnation: queue, batch, prefix cache, streams and resident models. */
public final class EngineCore {
    private static final int STOP_BATCHER = -1;

    private final EngineOptions options;
    private final EventLoop loop;
    private final EngineCounters counters;
    private final Runnable crash;
    private final long incarnation;
    private final Batcher batcher;
    private final PrefixCache cache;
    private final CacheEventLog cacheEvents;
    private final Residency residency;
    private final LaggedHistory<EngineLoadReport> loads;
    private final Map<String, Generation> generations = new HashMap<>();
    private EngineFaults faults = EngineFaults.none();
    private long arrivals;

    /**
     * Creates an incarnation with an empty cache.
     *
     * @param crash terminates the incarnation immediately
     */
    public EngineCore(
            EngineOptions options, EventLoop loop, EngineCounters counters, long incarnation, Runnable crash) {
        this.options = options;
        this.loop = loop;
        this.counters = counters;
        this.incarnation = incarnation;
        this.crash = crash;
        this.batcher = new Batcher(options, loop, new ProgressListener());
        this.cacheEvents = new CacheEventLog(options.cacheEventDelayMs(), options.cacheEventGapEvery());
        this.cache = new PrefixCache(
                options.cacheBlocks(), (kind, block) -> cacheEvents.add(System.currentTimeMillis(), kind, block));
        this.residency = new Residency(options.models(), options.role(), options.checkOrderTokens());
        this.loads = new LaggedHistory<>(options.loadLagMs());
        recordLoad();
    }

    /** Returns the active faults. */
    public EngineFaults faults() {
        return faults;
    }

    /** Replaces the active faults; a stall starts immediately. */
    public void setFaults(EngineFaults next) {
        faults = next;
        if (next.stallMs() > 0) {
            batcher.stall(next.stallMs());
            faults = next.withStallMs(0);
        }
        recordLoad();
    }

    /** Returns the faults of the next answer and consumes those that apply to a limited number of answers. */
    public StreamFaults consumeStreamFaults(Generation generation) {
        StreamFaults captured = new StreamFaults(
                System.currentTimeMillis() + faults.lateMs(),
                faults.crossNext() > 0 ? Optional.of(requestToMixIn(generation)) : Optional.empty(),
                faults.duplicateEvery(),
                faults.gapEvery(),
                faults.cutAfterEvents());
        faults = faults.withCrossNext(Math.max(0, faults.crossNext() - 1)).withCutAfterEvents(0);
        return captured;
    }

    /** Returns the resident models, the adapters and the role. */
    public Residency residency() {
        return residency;
    }

    public PrefixCache cache() {
        return cache;
    }

    /** Returns the published cache events with a sequence number greater than {@code after}. */
    public CacheEventLog.Page cacheEvents(long after) {
        return cacheEvents.after(System.currentTimeMillis(), after);
    }

    /** Returns the load as of the configured lag ago. */
    public EngineLoadReport load() {
        long at = System.currentTimeMillis() - options.loadLagMs();
        return loads.at(at).orElseGet(this::measureLoad).at(at);
    }

    /** Records the current load for later reports. */
    public void recordLoad() {
        loads.record(System.currentTimeMillis(), measureLoad());
    }

    /** Rejects a request that this engine cannot accept. */
    public void checkAdmission(CompletionRequest request) throws RequestRejectedException {
        if (faults.drain()) {
            throw refusal(503, "draining", "server \"" + options.name() + "\" is draining");
        }
        if (!residency.has(request.model())) {
            String message = "model \"" + request.model() + "\" is not resident on server \"" + options.name() + "\"";
            throw refusal(404, "model-not-resident", message);
        }
        if (batcher.queuedCount() >= options.maxQueued()) {
            throw refusal(503, "engine-full", "the queue of server \"" + options.name() + "\" is full");
        }
    }

    /** Queues a request for generation. */
    public Generation submit(CompletionRequest request) throws RequestRejectedException {
        Generation generation = new Generation(request, arrivals++);
        counters.accepted(request.id());
        generations.put(request.id(), generation);
        batcher.submit(generation);
        recordLoad();
        return generation;
    }

    /** Returns the latest generation with the given request id. */
    public Optional<Generation> find(String requestId) {
        return Optional.ofNullable(generations.get(requestId));
    }

    /** Cancels a generation; does nothing if it has ended. */
    public void cancel(Generation generation) {
        if (generation.ended()) {
            return;
        }
        generation.cancel();
        batcher.remove(generation);
        counters.cancelled();
        generation.notifyWriters();
        scheduleRemoval(generation);
        recordLoad();
    }

    /**
     * Detaches a closed connection; cancels the generation unless another connection attaches within the grace period.
     */
    public void connectionLost(Generation generation, AnswerWriter writer) {
        generation.detach(writer);
        schedule(options.lostConnectionGraceMs(), () -> {
            if (generation.hasNoWriters()) {
                cancel(generation);
            }
        });
    }

    /** Stops all generation. */
    public void stop() {
        batcher.stop();
    }

    private CompletionRequest requestToMixIn(Generation generation) {
        for (Generation other : generations.values()) {
            if (!other.request().id().equals(generation.request().id())) {
                return other.request();
            }
        }
        String model = generation.request().model();
        return new CompletionRequest(
                "crossed-" + arrivals, 0, 0, true, model, "crossed prompt " + arrivals, "", 0, true);
    }

    private EngineLoadReport measureLoad() {
        int queuedTokens = 0;
        for (Generation waiting : batcher.queued()) {
            queuedTokens += waiting.promptTokens();
        }
        int decodeTokens = 0;
        for (Generation running : batcher.running()) {
            queuedTokens += running.remainingPrefillTokens();
            decodeTokens += running.remainingDecodeTokens();
        }
        return new EngineLoadReport(
                options.name(),
                incarnation,
                System.currentTimeMillis(),
                batcher.running().size(),
                batcher.queuedCount(),
                queuedTokens,
                decodeTokens,
                batcher.capacityTokensPerSecond(),
                cache.tokens(),
                counters.hitRate(),
                residency.models(),
                residency.adapters(),
                residency.role(),
                faults.drain(),
                residency.token());
    }

    private void scheduleRemoval(Generation generation) {
        schedule(
                options.keepFinishedMs(),
                () -> generations.remove(generation.request().id(), generation));
    }

    private void schedule(long delayMs, Runnable action) {
        var unused = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private static RequestRejectedException refusal(int status, String type, String message) {
        return new RequestRejectedException(status, type, ExecutionOutcome.NOT_RUN, message);
    }

    private final class ProgressListener implements Batcher.Listener {
        @Override
        public int onAdmit(Generation generation) {
            String prompt = generation.request().prompt();
            if (faults.crashOn().filter(prompt::contains).isPresent()) {
                crash.run();
                return STOP_BATCHER;
            }
            int cached = cache.match(blocks(generation)) * PromptBlocks.BLOCK_TOKENS;
            counters.hit(cached);
            return generation.promptTokens() - cached;
        }

        @Override
        public void onPrefill(Generation generation, int tokens) {
            counters.prefilled(tokens);
            if (generation.remainingPrefillTokens() == 0) {
                cache.store(blocks(generation));
            }
        }

        @Override
        public void onDecode(Generation generation) {
            counters.decoded();
            if (generation.ended()) {
                counters.finished();
                scheduleRemoval(generation);
            }
            generation.notifyWriters();
        }

        @Override
        public void onStepEnd() {
            recordLoad();
        }

        private List<String> blocks(Generation generation) {
            return PromptBlocks.of(generation.request().model(), generation.cachedText());
        }
    }
}
