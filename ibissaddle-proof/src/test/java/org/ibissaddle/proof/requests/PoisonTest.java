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
import org.ibissaddle.standins.AnswerText;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PoisonTest {
    private static final int ENGINES = 8;
    private static final int RESENDS = 50;
    private static final int INNOCENTS = 24;
    private static final int WORDS = 60;
    private static final int MAX_CRASHES = 3;
    private static final String POISON = "a prompt with POISON in it";

    @Tag("known-red")
    @Test
    void shouldCrashFewEnginesAndRefuseNoInnocent(@TempDir Path folder)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(folder, 4, 0, ENGINES)) {
            cluster.engines()
                    .forEach(engine -> engine.setFaults(EngineFaults.none().withCrashOn("POISON")));
            AtomicBoolean over = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger();
            ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
            List<Thread> innocents = new ArrayList<>();
            for (int i = 0; i < INNOCENTS; i++) {
                String prompt = "innocent " + i;
                innocents.add(Thread.ofVirtual().start(() -> keepCalling(cluster, prompt, over, served, wrong)));
            }
            Waiting.until("innocents are served", () -> served.get() > INNOCENTS);
            resendPoison(cluster);
            over.set(true);
            for (Thread innocent : innocents) {
                innocent.join();
            }
            long crashes = cluster.engines().stream()
                    .mapToLong(engine -> engine.stats().crashes())
                    .sum();
            System.out.println("event=poison crashes=" + crashes + " innocent_served=" + served + " innocent_failed="
                    + wrong.size());
            assertThat(crashes).isBetween(1L, (long) MAX_CRASHES);
            assertEveryInnocentIsServed(cluster);
        }
    }

    private static void resendPoison(Cluster cluster) {
        StreamCaller caller = new StreamCaller(cluster);
        for (int i = 0; i < RESENDS; i++) {
            String instance = cluster.instances().get(i % cluster.instances().size());
            StreamCaller.Ended ended = caller.callOnce(cluster.caller(instance), POISON, WORDS);
            assertThat(ended.clean()).isFalse();
        }
    }

    private static void keepCalling(
            Cluster cluster,
            String prompt,
            AtomicBoolean over,
            AtomicInteger served,
            ConcurrentLinkedQueue<String> wrong) {
        StreamCaller caller = new StreamCaller(cluster);
        Random random = new Random(prompt.hashCode());
        while (!over.get()) {
            StreamCaller.Ended ended = caller.call(prompt, WORDS, random);
            served.incrementAndGet();
            if (!ended.text().equals(AnswerText.answerFor("m@1", prompt, WORDS))) {
                wrong.add(prompt + " " + ended.error());
            }
        }
    }

    private static void assertEveryInnocentIsServed(Cluster cluster) {
        StreamCaller caller = new StreamCaller(cluster);
        for (int i = 0; i < INNOCENTS; i++) {
            for (String instance : cluster.instances()) {
                String prompt = "innocent " + i;
                StreamCaller.Ended ended = caller.callOnce(cluster.caller(instance), prompt, WORDS);
                assertThat(ended.text()).isEqualTo(AnswerText.answerFor("m@1", prompt, WORDS));
                assertThat(ended.clean())
                        .as("%s at %s: %s", prompt, instance, ended)
                        .isTrue();
            }
        }
    }
}
