package org.ibissaddle.standins.internal.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.standins.EngineOptions;

/**
 * Simulates continuous batching: every step prefills a limited number of prompt tokens and decodes one word for each
 * sequence whose prefill is complete.
 */
public final class Batcher {
    /** Receives the progress of generations. */
    public interface Listener {
        /**
         * Called before a generation enters the batch.
         *
         * @return the number of uncached prompt tokens, or -1 to stop the batcher immediately
         */
        int onAdmit(Generation generation);

        /** Called after prompt tokens were prefilled. */
        void onPrefill(Generation generation, int tokens);

        /** Called after a word was decoded. */
        void onDecode(Generation generation);

        /** Called at the end of a step. */
        void onStepEnd();
    }

    private static final int PREFILL_TOKENS_PER_STEP = 512;
    private static final long MAX_CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineOptions options;
    private final EventLoop loop;
    private final Listener listener;
    private final PriorityQueue<Generation> queue = new PriorityQueue<>(
            Comparator.comparingInt(Generation::priority).reversed().thenComparingLong(Generation::arrival));
    private final List<Generation> running = new ArrayList<>();
    private boolean stepping;
    private boolean stopped;
    private long stepEndNanos;
    private long stalledUntilNanos = Long.MIN_VALUE;

    /** Creates an idle batcher. */
    public Batcher(EngineOptions options, EventLoop loop, Listener listener) {
        this.options = options;
        this.loop = loop;
        this.listener = listener;
    }

    /** Adds a generation to the queue. */
    public void submit(Generation generation) {
        queue.add(generation);
        if (!stepping) {
            stepping = true;
            stepEndNanos = System.nanoTime();
            loop.execute(this::beginStep);
        }
    }

    /** Removes a cancelled generation from the queue or the batch. */
    public void remove(Generation generation) {
        queue.remove(generation);
        running.remove(generation);
    }

    /** Delays the end of the following steps until the given time has passed. */
    public void stall(long ms) {
        stalledUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Stops permanently and discards all generations. */
    public void stop() {
        stopped = true;
        queue.clear();
        running.clear();
    }

    /** Returns the sequences in the batch. */
    public List<Generation> running() {
        return running;
    }

    /** Returns the queued generations, in no particular order. */
    public Iterable<Generation> queued() {
        return queue;
    }

    /** Returns the number of queued generations. */
    public int queuedCount() {
        return queue.size();
    }

    /** Returns the number of words that a full batch decodes per second. */
    public double capacityTokensPerSecond() {
        return options.maxBatch() * NANOS_PER_SECOND / decodeNanos(options.maxBatch());
    }

    private void beginStep() {
        if (stopped || !admitQueued()) {
            return;
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        long now = System.nanoTime();
        stepEndNanos = Math.max(stepEndNanos, now - MAX_CATCH_UP_NANOS) + stepNanos();
        if (stalledUntilNanos - now > 0) {
            stepEndNanos = Math.max(stepEndNanos, stalledUntilNanos);
        }
        var unused = loop.schedule(this::endStep, stepEndNanos - now, TimeUnit.NANOSECONDS);
    }

    private boolean admitQueued() {
        while (running.size() < options.maxBatch() && !queue.isEmpty()) {
            Generation next = queue.remove();
            int uncached = listener.onAdmit(next);
            if (uncached < 0) {
                return false;
            }
            next.admit(uncached);
            running.add(next);
        }
        return true;
    }

    private void endStep() {
        if (stopped) {
            return;
        }
        int budget = PREFILL_TOKENS_PER_STEP;
        for (Generation generation : List.copyOf(running)) {
            budget -= advance(generation, budget);
        }
        running.removeIf(Generation::ended);
        listener.onStepEnd();
        beginStep();
    }

    private int advance(Generation generation, int budget) {
        if (generation.ended()) {
            return 0;
        }
        int read = generation.prefill(budget);
        if (read > 0) {
            listener.onPrefill(generation, read);
            return read;
        }
        if (generation.remainingPrefillTokens() == 0) {
            generation.decode();
            listener.onDecode(generation);
        }
        return 0;
    }

    private long stepNanos() {
        int waiting =
                running.stream().mapToInt(Generation::remainingPrefillTokens).sum();
        int tokens = Math.min(waiting, PREFILL_TOKENS_PER_STEP);
        return decodeNanos(running.size()) + (long) (tokens * NANOS_PER_SECOND / options.prefillTokensPerSecond());
    }

    private long decodeNanos(int sequences) {
        return TimeUnit.MICROSECONDS.toNanos(options.stepBaseMicros() + sequences * options.stepPerSequenceMicros());
    }
}
