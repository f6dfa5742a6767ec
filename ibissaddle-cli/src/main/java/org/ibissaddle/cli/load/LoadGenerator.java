package org.ibissaddle.cli.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.ibissaddle.cli.call.CallResult;
import org.ibissaddle.cli.call.GatewayClient;
import org.ibissaddle.cli.call.ResolvedInstance;
import org.ibissaddle.id.Address;

/** Open-loop load generator. */
final class LoadGenerator {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MICROS_PER_MS = 1000.0;
    private static final double P50 = 50;
    private static final double P99 = 99;

    private final LoadPlan plan;
    private final GatewayClient client;
    private final PrintStream out;
    private final LoadStatistics statistics = new LoadStatistics();
    private final Map<String, ResolvedInstance> resolved = new ConcurrentHashMap<>();
    private final AtomicInteger nextControl = new AtomicInteger();

    LoadGenerator(LoadPlan plan, GatewayClient client, PrintStream out) {
        this.plan = plan;
        this.client = client;
        this.out = out;
    }

    /** Sends all requests and waits for the last one to finish. */
    LoadStatistics run() throws InterruptedException {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Thread progress = Thread.ofPlatform().daemon().name("progress").start(this::reportProgress);
            startRequests(threads);
            threads.shutdown();
            while (!threads.awaitTermination(1, TimeUnit.SECONDS)) {
                Thread.onSpinWait();
            }
            progress.interrupt();
            progress.join();
        }
        statistics.closeInterval();
        return statistics;
    }

    /** Starts requests with exponentially distributed gaps (Poisson arrivals), independently of response times. */
    private void startRequests(ExecutorService threads) {
        SplittableRandom random = new SplittableRandom(plan.seed());
        long startNanos = System.nanoTime();
        double nextSeconds = 0;
        while (nextSeconds < plan.seconds()) {
            long scheduled = startNanos + (long) (nextSeconds * NANOS_PER_SECOND);
            for (long now = System.nanoTime(); now < scheduled; now = System.nanoTime()) {
                LockSupport.parkNanos(scheduled - now);
            }
            WorkloadMix.Request request = plan.mix().sample(random);
            statistics.recordStarted();
            threads.submit(() -> send(request, scheduled));
            nextSeconds += -Math.log(1 - random.nextDouble()) / plan.perSecond();
        }
    }

    private void send(WorkloadMix.Request request, long scheduledNanos) {
        try {
            ResolvedInstance target = resolve(request);
            CallResult result = client.send(target.address(), request.workspace(), request.call(), target.ticket());
            statistics.recordEnded(request.kind(), target.name(), result, scheduledNanos);
        } catch (IOException e) {
            statistics.recordRefused("ask-failed", "not-run");
        }
    }

    private ResolvedInstance resolve(WorkloadMix.Request request) throws IOException {
        String key = request.workspace() + "\n" + request.kind();
        Optional<ResolvedInstance> cached = Optional.ofNullable(resolved.get(key))
                .filter(target -> target.validUntilMs() > System.currentTimeMillis());
        if (cached.isPresent()) {
            return cached.get();
        }
        int index = Math.floorMod(nextControl.getAndIncrement(), plan.controls().size());
        Address control = plan.controls().get(index);
        ResolvedInstance target = client.resolve(control, request.workspace(), request.call());
        if (target.ticket().isEmpty()) {
            resolved.put(key, target);
        }
        return target;
    }

    private void reportProgress() {
        try {
            for (int second = 1; true; second++) {
                Thread.sleep(TimeUnit.SECONDS.toMillis(1));
                LoadStatistics.Interval interval = statistics.closeInterval();
                Histogram firstChunk = interval.firstChunkMicros();
                out.println(String.format(
                        Locale.ROOT,
                        "%4d s  started %d  answered %d  refused %d  first chunk p50 %.1f ms  p99 %.1f ms",
                        second,
                        interval.started(),
                        interval.answered(),
                        interval.refused(),
                        firstChunk.getValueAtPercentile(P50) / MICROS_PER_MS,
                        firstChunk.getValueAtPercentile(P99) / MICROS_PER_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
