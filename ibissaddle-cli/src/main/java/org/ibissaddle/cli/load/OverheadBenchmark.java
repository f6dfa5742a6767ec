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
import org.ibissaddle.cli.call.Call;
import org.ibissaddle.cli.call.CallResult;
import org.ibissaddle.cli.call.GatewayClient;
import org.ibissaddle.id.Address;

/**
 * Measures the latency that an instance adds to calls of an engine. Rounds of direct calls alternate with rounds of
 * calls through the instance at the same rate, so that both see the same load of the machine. Arrivals are open-loop;
 * latencies are measured from the scheduled start of each call.
 */
public final class OverheadBenchmark {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MS = 1000.0;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final int WARM_UP_STREAMS = 200;

    private final GatewayClient client;
    private final Plan plan;
    private final PrintStream out;
    private final SplittableRandom random;

    private OverheadBenchmark(GatewayClient client, Plan plan, PrintStream out) {
        this.client = client;
        this.plan = plan;
        this.out = out;
        this.random = new SplittableRandom(plan.seed());
    }

    /**
     * Parameters of a benchmark.
     *
     * @param direct address of an engine
     * @param proxied caller address of an instance in front of it
     * @param workspace workspace of the calls
     * @param model model of the calls
     * @param tokens maximum number of tokens of each response
     * @param rounds number of rounds per target
     * @param roundMs duration of a round, milliseconds
     * @param seed seed of arrivals and prompts
     */
    public record Plan(
            Address direct,
            Address proxied,
            String workspace,
            String model,
            int tokens,
            int rounds,
            long roundMs,
            long seed) {}

    /** Latencies and failures of one target. */
    private static final class Measurements {
        final ConcurrentHistogram firstChunk = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        final ConcurrentHistogram totalTime = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        final LongAdder failed = new LongAdder();
        final Map<String, LongAdder> failuresByType = new ConcurrentSkipListMap<>();
    }

    /**
     * Runs the benchmark at several concurrency levels and prints the results of each.
     *
     * @param plan parameters of the benchmark
     * @param streams mean number of concurrent streams of each level
     * @param out stream that receives the results
     * @return number of failed streams
     * @throws InterruptedException when the thread is interrupted
     */
    public static long run(Plan plan, int[] streams, PrintStream out) throws InterruptedException {
        try (GatewayClient client = new GatewayClient()) {
            OverheadBenchmark overhead = new OverheadBenchmark(client, plan, out);
            double streamMs = overhead.warmUp();
            long failed = 0;
            for (int level : streams) {
                failed += overhead.measure(level, streamMs);
            }
            return failed;
        }
    }

    /** Warms up both targets and returns the mean duration of a direct stream in milliseconds. */
    private double warmUp() throws InterruptedException {
        Measurements measurements = new Measurements();
        double perSecond = WARM_UP_STREAMS / 4.0;
        runRound(plan.proxied(), perSecond, measurements);
        runRound(plan.direct(), perSecond, new Measurements());
        Measurements direct = new Measurements();
        runRound(plan.direct(), perSecond, direct);
        return direct.totalTime.getMean() / MICROS_PER_MS;
    }

    private long measure(int streams, double streamMs) throws InterruptedException {
        double perSecond = streams * TimeUnit.SECONDS.toMillis(1) / streamMs;
        Measurements direct = new Measurements();
        Measurements proxied = new Measurements();
        for (int i = 0; i < plan.rounds(); i++) {
            runRound(plan.direct(), perSecond, direct);
            runRound(plan.proxied(), perSecond, proxied);
        }
        out.println(String.format(
                Locale.ROOT,
                "%d concurrent streams: %.1f started/s, %d direct, %d through the instance, %d and %d failed",
                streams,
                perSecond,
                direct.totalTime.getTotalCount(),
                proxied.totalTime.getTotalCount(),
                direct.failed.sum(),
                proxied.failed.sum()));
        if (!proxied.failuresByType.isEmpty() || !direct.failuresByType.isEmpty()) {
            out.println(
                    "  failed direct " + direct.failuresByType + ", through the instance " + proxied.failuresByType);
        }
        print("first chunk", direct.firstChunk, proxied.firstChunk);
        print("total time", direct.totalTime, proxied.totalTime);
        return direct.failed.sum() + proxied.failed.sum();
    }

    private void print(String metric, Histogram direct, Histogram proxied) {
        for (double percentile : new double[] {P50, P99}) {
            double directMs = direct.getValueAtPercentile(percentile) / MICROS_PER_MS;
            double proxiedMs = proxied.getValueAtPercentile(percentile) / MICROS_PER_MS;
            out.println(String.format(
                    Locale.ROOT,
                    "  %-12s p%.0f  direct %8.2f ms  through %8.2f ms  added %+7.2f ms  ratio %.3f",
                    metric,
                    percentile,
                    directMs,
                    proxiedMs,
                    proxiedMs - directMs,
                    proxiedMs / directMs));
        }
    }

    private void runRound(Address target, double perSecond, Measurements measurements) throws InterruptedException {
        long startNanos = System.nanoTime();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            double nextMs = 0;
            while (nextMs < plan.roundMs()) {
                long scheduled = startNanos + (long) (nextMs * TimeUnit.MILLISECONDS.toNanos(1));
                for (long now = System.nanoTime(); now < scheduled; now = System.nanoTime()) {
                    LockSupport.parkNanos(scheduled - now);
                }
                long streamId = random.nextLong();
                threads.submit(() -> send(target, streamId, scheduled, measurements));
                nextMs += -Math.log(1 - random.nextDouble()) / perSecond * TimeUnit.SECONDS.toMillis(1);
            }
        }
    }

    private void send(Address target, long streamId, long scheduled, Measurements measurements) {
        Call call = Call.chat(plan.model(), "Stream " + streamId, plan.tokens());
        CallResult result = client.send(target, plan.workspace(), call, Optional.empty());
        if (!result.complete()) {
            measurements.failed.increment();
            measurements
                    .failuresByType
                    .computeIfAbsent(result.errorType().orElse("cut"), type -> new LongAdder())
                    .increment();
            return;
        }
        measurements.firstChunk.recordValue(TimeUnit.NANOSECONDS.toMicros(result.firstChunkNanos() - scheduled));
        measurements.totalTime.recordValue(TimeUnit.NANOSECONDS.toMicros(result.endNanos() - scheduled));
    }
}
