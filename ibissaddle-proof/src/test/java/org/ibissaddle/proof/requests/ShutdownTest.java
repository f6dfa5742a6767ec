package org.ibissaddle.proof.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ShutdownTest {
    private static final int CALLERS = 16;
    private static final int MAX_TOKENS = 300;

    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicBoolean finished = new AtomicBoolean();

    @Tag("known-red")
    @Test
    void shouldCutNothingWhenAnInstanceAndAnEngineLeaveUnderLoad(@TempDir Path directory)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(directory, 3, 2, 3)) {
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int seed = i;
                callers.add(Thread.ofVirtual().start(() -> sendStreams(cluster, seed)));
                callers.add(Thread.ofVirtual().start(() -> sendPurchases(cluster, seed)));
            }
            Polling.until("requests are served", () -> served.get() > 100);
            cluster.engines().get(0).setFaults(EngineFaults.none().withDrain(true));
            long startMs = System.currentTimeMillis();
            cluster.signal("a", "TERM");
            cluster.markLeaving("a");
            int exitCode = cluster.awaitExit("a");
            long durationMs = System.currentTimeMillis() - startMs;
            int servedBefore = served.get();
            Polling.until("requests are served after the shutdown", () -> served.get() > servedBefore + 100);
            finished.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            System.out.println(
                    "event=shutdown served=" + served + " cut=" + failures.size() + " took_ms=" + durationMs);
            assertThat(failures).isEmpty();
            assertThat(exitCode).isZero();
        }
    }

    @Test
    void shouldExitImmediatelyOnTheSecondSignal(@TempDir Path directory)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(directory, 1, 1, 1)) {
            cluster.signal("a", "TERM");
            Polling.until(
                    "the instance is draining",
                    () -> cluster.get(cluster.controlUrl("a") + "/status")
                            .filter(status -> status.contains("\"draining\":true"))
                            .isPresent());
            cluster.signal("a", "TERM");
            assertThat(cluster.awaitExit("a")).isNotZero();
        }
    }

    private void sendStreams(Cluster cluster, int seed) {
        StreamClient caller = new StreamClient(cluster);
        Random random = new Random(seed);
        for (int n = 0; !finished.get(); n++) {
            Optional<String> instance = chooseInstance(cluster, random);
            if (instance.isEmpty()) {
                continue;
            }
            String prompt = "prompt " + seed + " " + n;
            StreamClient.Result result = caller.callWithoutRetry(cluster.callerUrl(instance.get()), prompt, MAX_TOKENS);
            boolean successful =
                    result.complete() && result.text().equals(ResponseText.textFor("m@1", prompt, MAX_TOKENS));
            recordOutcome(successful, instance.get() + " " + prompt + " " + result.error());
        }
    }

    private void sendPurchases(Cluster cluster, int seed) {
        AtMostOnceClient caller = new AtMostOnceClient(cluster);
        Random random = new Random(seed);
        while (!finished.get()) {
            List<String> names = cluster.instanceNames();
            Optional<AtMostOnceClient.IssuedTicket> issued =
                    caller.requestTicket(names.get(random.nextInt(names.size())));
            if (issued.isEmpty()) {
                continue;
            }
            String owner = issued.get().ticket().owner().name();
            Optional<ExecutionStatus> status = caller.send(owner, issued.get().encoded());
            recordOutcome(status.equals(Optional.of(ExecutionStatus.RAN)), "call at " + owner + " " + status);
        }
    }

    private void recordOutcome(boolean successful, String description) {
        served.incrementAndGet();
        if (!successful) {
            failures.add(description);
        }
    }

    private static Optional<String> chooseInstance(Cluster cluster, Random random) {
        List<String> names = cluster.instanceNames();
        List<String> discovered = cluster.discoverInstances(names.get(random.nextInt(names.size())));
        return discovered.isEmpty() ? Optional.empty() : Optional.of(discovered.get(random.nextInt(discovered.size())));
    }
}
