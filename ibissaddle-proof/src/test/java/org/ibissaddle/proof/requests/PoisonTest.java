package org.ibissaddle.proof.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PoisonTest {
    private static final int ENGINES = 8;
    private static final int POISON_CALLS = 50;
    private static final int HEALTHY_CALLERS = 24;
    private static final int MAX_TOKENS = 60;
    private static final int MAX_CRASHES = 3;
    /** Crashes allowed until a shared part of prompts is known: five, and three requests more. */
    private static final int MAX_CRASHES_BY_A_PART = 8;

    private static final String POISON = "a prompt with POISON in it";

    @Tag("known-red")
    @Test
    void shouldCrashFewEnginesAndRefuseNoInnocent(@TempDir Path directory)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(directory, 4, 0, ENGINES)) {
            cluster.engines()
                    .forEach(engine -> engine.setFaults(EngineFaults.none().withCrashOn("POISON")));
            AtomicBoolean finished = new AtomicBoolean();
            AtomicInteger responses = new AtomicInteger();
            ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
            List<Thread> healthyCallers = new ArrayList<>();
            for (int i = 0; i < HEALTHY_CALLERS; i++) {
                String prompt = "innocent " + i;
                healthyCallers.add(
                        Thread.ofVirtual().start(() -> callRepeatedly(cluster, prompt, finished, responses, failures)));
            }
            Polling.until("healthy requests are served", () -> responses.get() > HEALTHY_CALLERS);
            sendPoison(cluster);
            finished.set(true);
            for (Thread healthyCaller : healthyCallers) {
                healthyCaller.join();
            }
            long crashes = cluster.engines().stream()
                    .mapToLong(engine -> engine.stats().crashes())
                    .sum();
            System.out.println("event=poison crashes=" + crashes + " innocent_served=" + responses + " innocent_failed="
                    + failures.size());
            assertThat(crashes).isBetween(1L, (long) MAX_CRASHES);
            assertEveryHealthyCallIsServed(cluster);
        }
    }

    /** Guards against a part of a prompt that crashes engines in requests of which no two are alike. */
    @Tag("known-red")
    @Test
    void shouldCrashFewEnginesWhenRequestsShareOnlyAPartOfTheirPrompt(@TempDir Path directory)
            throws StandinStartException, IOException {
        try (Cluster cluster = new Cluster(directory, 4, 0, ENGINES)) {
            cluster.engines()
                    .forEach(engine -> engine.setFaults(EngineFaults.none().withCrashOn("POISON")));
            StreamClient caller = new StreamClient(cluster);
            for (int i = 0; i < POISON_CALLS; i++) {
                for (EngineStandin engine : cluster.engines()) {
                    if (engine.hasCrashed()) {
                        engine.restart();
                        engine.setFaults(EngineFaults.none().withCrashOn("POISON"));
                    }
                }
                String instance =
                        cluster.instanceNames().get(i % cluster.instanceNames().size());
                caller.callWithoutRetry(cluster.callerUrl(instance), POISON + " " + i, MAX_TOKENS);
            }

            assertThat(cluster.engines().stream()
                            .mapToLong(engine -> engine.stats().crashes())
                            .sum())
                    .isBetween(1L, (long) MAX_CRASHES_BY_A_PART);
        }
    }

    private static void sendPoison(Cluster cluster) {
        StreamClient caller = new StreamClient(cluster);
        for (int i = 0; i < POISON_CALLS; i++) {
            String instance =
                    cluster.instanceNames().get(i % cluster.instanceNames().size());
            StreamClient.Result result = caller.callWithoutRetry(cluster.callerUrl(instance), POISON, MAX_TOKENS);
            assertThat(result.complete()).isFalse();
        }
    }

    private static void callRepeatedly(
            Cluster cluster,
            String prompt,
            AtomicBoolean finished,
            AtomicInteger responses,
            ConcurrentLinkedQueue<String> failures) {
        StreamClient caller = new StreamClient(cluster);
        Random random = new Random(prompt.hashCode());
        while (!finished.get()) {
            StreamClient.Result result = caller.callWithRetries(prompt, MAX_TOKENS, random);
            responses.incrementAndGet();
            if (!result.text().equals(ResponseText.textFor("m@1", prompt, MAX_TOKENS))) {
                failures.add(prompt + " " + result.error());
            }
        }
    }

    private static void assertEveryHealthyCallIsServed(Cluster cluster) {
        StreamClient caller = new StreamClient(cluster);
        for (int i = 0; i < HEALTHY_CALLERS; i++) {
            for (String instance : cluster.instanceNames()) {
                String prompt = "innocent " + i;
                StreamClient.Result result = caller.callWithoutRetry(cluster.callerUrl(instance), prompt, MAX_TOKENS);
                assertThat(result.text()).isEqualTo(ResponseText.textFor("m@1", prompt, MAX_TOKENS));
                assertThat(result.complete())
                        .as("%s at %s: %s", prompt, instance, result)
                        .isTrue();
            }
        }
    }
}
