package org.ibissaddle.standins.internal.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.standins.EngineOptions;

/** Batches continuously: every step reads some prompt tokens and generates a word for each ready sequence. */
public final class Batcher {
    /** Told of the progress of generations. */
    public interface Listener {
        /** A place in the batch is free: returns the uncached prompt tokens, or -1 to stop all work at once. */
        int admitting(Generation generation);

        /** Prompt tokens were read. */
        void prefilled(Generation generation, int tokens);

        /** A word was generated. */
        void decoded(Generation generation);

        /** The step is over. */
        void stepped();
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
    private long stepEnd;
    private long stalledUntil = Long.MIN_VALUE;

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
            stepEnd = System.nanoTime();
            loop.execute(this::beginStep);
        }
    }

    /** Takes a cancelled generation out of the queue or the batch. */
    public void remove(Generation generation) {
        queue.remove(generation);
        running.remove(generation);
    }

    /** Lets all steps stand still for a time. */
    public void stall(long ms) {
        stalledUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Stops for good. */
    public void stop() {
        stopped = true;
        queue.clear();
        running.clear();
    }

    /** The sequences in the batch. */
    public List<Generation> running() {
        return running;
    }

    /** The requests that wait, in no order. */
    public Iterable<Generation> queued() {
        return queue;
    }

    /** The number of requests that wait. */
    public int queuedCount() {
        return queue.size();
    }

    /** The words generated each second by a full batch. */
    public double capacityTokensPerSecond() {
        return options.maxBatch() * NANOS_PER_SECOND / decodeNanos(options.maxBatch());
    }

    private void beginStep() {
        if (stopped || !admitWaiting()) {
            return;
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        long now = System.nanoTime();
        stepEnd = Math.max(stepEnd, now - MAX_CATCH_UP_NANOS) + stepNanos();
        if (stalledUntil - now > 0) {
            stepEnd = Math.max(stepEnd, stalledUntil);
        }
        var unused = loop.schedule(this::endStep, stepEnd - now, TimeUnit.NANOSECONDS);
    }

    private boolean admitWaiting() {
        while (running.size() < options.maxBatch() && !queue.isEmpty()) {
            Generation next = queue.remove();
            int uncached = listener.admitting(next);
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
        listener.stepped();
        beginStep();
    }

    private int advance(Generation generation, int budget) {
        if (generation.ended()) {
            return 0;
        }
        int read = generation.prefill(budget);
        if (read > 0) {
            listener.prefilled(generation, read);
            return read;
        }
        if (generation.prefillLeft() == 0) {
            generation.decode();
            listener.decoded(generation);
        }
        return 0;
    }

    private long stepNanos() {
        int waiting = running.stream().mapToInt(Generation::prefillLeft).sum();
        int tokens = Math.min(waiting, PREFILL_TOKENS_PER_STEP);
        return decodeNanos(running.size()) + (long) (tokens * NANOS_PER_SECOND / options.prefillTokensPerSecond());
    }

    private long decodeNanos(int sequences) {
        return TimeUnit.MICROSECONDS.toNanos(options.stepBaseMicros() + sequences * options.stepPerSequenceMicros());
    }
}
