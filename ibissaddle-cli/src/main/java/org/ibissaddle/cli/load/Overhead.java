package org.ibissaddle.cli.load;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.ibissaddle.cli.call.Answer;
import org.ibissaddle.cli.call.Call;
import org.ibissaddle.cli.call.GatewayCaller;
import org.ibissaddle.id.Address;

/**
 * Measures what an instance adds to calls of an engine. Rounds of direct calls and of calls through the instance take
 * turns at one rate, so that both meet the same machine. Arrivals are open-loop; times count from the intended start.
 */
public final class Overhead {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MS = 1000.0;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final int PROMPT_REPEATS = 40;
    private static final int WARM_UP_STREAMS = 200;

    private final GatewayCaller caller;
    private final Plan plan;
    private final PrintStream out;
    private final SplittableRandom random;

    private Overhead(GatewayCaller caller, Plan plan, PrintStream out) {
        this.caller = caller;
        this.plan = plan;
        this.out = out;
        this.random = new SplittableRandom(plan.seed());
    }

    /**
     * What to measure.
     *
     * @param direct address of an engine
     * @param through caller address of an instance in front of it
     * @param workspace workspace of the caller
     * @param model model of the calls
     * @param tokens tokens of each answer
     * @param rounds rounds for each target
     * @param roundMs length of a round, milliseconds
     * @param seed seed of arrivals and prompts
     */
    public record Plan(
            Address direct,
            Address through,
            String workspace,
            String model,
            int tokens,
            int rounds,
            long roundMs,
            long seed) {}

    /** Times of one target. */
    private static final class Times {
        final ConcurrentHistogram first = new ConcurrentHistogram(DIGITS);
        final ConcurrentHistogram whole = new ConcurrentHistogram(DIGITS);
        final LongAdder lost = new LongAdder();
        final Map<String, LongAdder> reasons = new ConcurrentSkipListMap<>();
    }

    /**
     * Measures at several numbers of concurrent streams and prints a line for each.
     *
     * @param plan what to measure
     * @param streams mean numbers of concurrent streams
     * @param out where lines go
     * @return how many streams were lost
     * @throws InterruptedException when the thread is interrupted
     */
    public static long run(Plan plan, int[] streams, PrintStream out) throws InterruptedException {
        try (GatewayCaller caller = new GatewayCaller()) {
            Overhead overhead = new Overhead(caller, plan, out);
            double streamMs = overhead.warmUp();
            long lost = 0;
            for (int count : streams) {
                lost += overhead.measure(count, streamMs);
            }
            return lost;
        }
    }

    /** Returns the mean length of a direct stream, milliseconds. */
    private double warmUp() throws InterruptedException {
        Times times = new Times();
        double perSecond = WARM_UP_STREAMS / 4.0;
        round(plan.through(), perSecond, times);
        round(plan.direct(), perSecond, new Times());
        Times direct = new Times();
        round(plan.direct(), perSecond, direct);
        return direct.whole.getMean() / MICROS_PER_MS;
    }

    private long measure(int streams, double streamMs) throws InterruptedException {
        double perSecond = streams * TimeUnit.SECONDS.toMillis(1) / streamMs;
        Times direct = new Times();
        Times through = new Times();
        for (int i = 0; i < plan.rounds(); i++) {
            round(plan.direct(), perSecond, direct);
            round(plan.through(), perSecond, through);
        }
        out.println(String.format(
                Locale.ROOT,
                "%d concurrent streams: %.1f started/s, %d direct, %d through the instance, %d and %d lost",
                streams,
                perSecond,
                direct.whole.getTotalCount(),
                through.whole.getTotalCount(),
                direct.lost.sum(),
                through.lost.sum()));
        if (!through.reasons.isEmpty() || !direct.reasons.isEmpty()) {
            out.println("  lost direct " + direct.reasons + ", through the instance " + through.reasons);
        }
        print("first piece", direct.first, through.first);
        print("whole answer", direct.whole, through.whole);
        return direct.lost.sum() + through.lost.sum();
    }

    private void print(String what, Histogram direct, Histogram through) {
        for (double percentile : new double[] {P50, P99}) {
            double before = direct.getValueAtPercentile(percentile) / MICROS_PER_MS;
            double after = through.getValueAtPercentile(percentile) / MICROS_PER_MS;
            out.println(String.format(
                    Locale.ROOT,
                    "  %-12s p%.0f  direct %8.2f ms  through %8.2f ms  added %+7.2f ms  ratio %.3f",
                    what,
                    percentile,
                    before,
                    after,
                    after - before,
                    after / before));
        }
    }

    private void round(Address target, double perSecond, Times times) throws InterruptedException {
        long begin = System.nanoTime();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            double nextMs = 0;
            while (nextMs < plan.roundMs()) {
                long intended = begin + (long) (nextMs * TimeUnit.MILLISECONDS.toNanos(1));
                for (long now = System.nanoTime(); now < intended; now = System.nanoTime()) {
                    LockSupport.parkNanos(intended - now);
                }
                long name = random.nextLong();
                threads.submit(() -> send(target, name, intended, times));
                nextMs += -Math.log(1 - random.nextDouble()) / perSecond * TimeUnit.SECONDS.toMillis(1);
            }
        }
    }

    private void send(Address target, long name, long intended, Times times) {
        Call call = Call.chat(plan.model(), ("Stream " + name + ". ").repeat(PROMPT_REPEATS), plan.tokens());
        Answer answer = caller.send(target, plan.workspace(), call, Optional.empty());
        if (!answer.complete()) {
            times.lost.increment();
            times.reasons
                    .computeIfAbsent(answer.refusal().orElse("cut"), type -> new LongAdder())
                    .increment();
            return;
        }
        times.first.recordValue(TimeUnit.NANOSECONDS.toMicros(answer.firstNanos() - intended));
        times.whole.recordValue(TimeUnit.NANOSECONDS.toMicros(answer.endNanos() - intended));
    }
}
