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
import org.ibissaddle.cli.call.Answer;
import org.ibissaddle.cli.call.Asked;
import org.ibissaddle.cli.call.GatewayCaller;
import org.ibissaddle.id.Address;

/** Sends the load of a plan. */
final class LoadRun {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MICROS_PER_MS = 1000.0;
    private static final double P50 = 50;
    private static final double P99 = 99;

    private final LoadPlan plan;
    private final GatewayCaller caller;
    private final PrintStream out;
    private final Tally tally = new Tally();
    private final Map<String, Asked> asked = new ConcurrentHashMap<>();
    private final AtomicInteger nextControl = new AtomicInteger();

    LoadRun(LoadPlan plan, GatewayCaller caller, PrintStream out) {
        this.plan = plan;
        this.caller = caller;
        this.out = out;
    }

    /** Sends all requests and waits until the last has ended. */
    Tally run() throws InterruptedException {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Thread progress = Thread.ofPlatform().daemon().name("progress").start(this::reportEachSecond);
            startAll(threads);
            threads.shutdown();
            while (!threads.awaitTermination(1, TimeUnit.SECONDS)) {
                Thread.onSpinWait();
            }
            progress.interrupt();
            progress.join();
        }
        tally.tick();
        return tally;
    }

    /** Gaps between starts are exponential, so that arrivals do not depend on answers. */
    private void startAll(ExecutorService threads) {
        SplittableRandom random = new SplittableRandom(plan.seed());
        long begin = System.nanoTime();
        double next = 0;
        while (next < plan.seconds()) {
            long intended = begin + (long) (next * NANOS_PER_SECOND);
            for (long now = System.nanoTime(); now < intended; now = System.nanoTime()) {
                LockSupport.parkNanos(intended - now);
            }
            Mix.Request request = plan.mix().draw(random);
            tally.started();
            threads.submit(() -> send(request, intended));
            next += -Math.log(1 - random.nextDouble()) / plan.perSecond();
        }
    }

    private void send(Mix.Request request, long intendedNanos) {
        try {
            Asked answer = ask(request);
            Answer got = caller.send(answer.instance(), request.workspace(), request.call(), answer.ticket());
            tally.ended(request.kind(), answer.name(), got, intendedNanos);
        } catch (IOException e) {
            tally.refused("ask-failed", "not-run");
        }
    }

    private Asked ask(Mix.Request request) throws IOException {
        String key = request.workspace() + "\n" + request.kind();
        Optional<Asked> known = Optional.ofNullable(asked.get(key))
                .filter(answer -> answer.validUntilMs() > System.currentTimeMillis());
        if (known.isPresent()) {
            return known.get();
        }
        int index = Math.floorMod(nextControl.getAndIncrement(), plan.controls().size());
        Address control = plan.controls().get(index);
        Asked answer = caller.ask(control, request.workspace(), request.call());
        if (answer.ticket().isEmpty()) {
            asked.put(key, answer);
        }
        return answer;
    }

    private void reportEachSecond() {
        try {
            for (int second = 1; true; second++) {
                Thread.sleep(TimeUnit.SECONDS.toMillis(1));
                Tally.Second now = tally.tick();
                Histogram first = now.firstMicros();
                out.println(String.format(
                        Locale.ROOT,
                        "%4d s  started %d  answered %d  refused %d  first piece p50 %.1f ms  p99 %.1f ms",
                        second,
                        now.started(),
                        now.answered(),
                        now.refused(),
                        first.getValueAtPercentile(P50) / MICROS_PER_MS,
                        first.getValueAtPercentile(P99) / MICROS_PER_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
