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
import org.ibissaddle.standins.AnswerText;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ShutdownTest {
    private static final int CALLERS = 16;
    private static final int WORDS = 300;

    private final ConcurrentLinkedQueue<String> cut = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();

    @Tag("known-red")
    @Test
    void shouldCutNothingWhenAnInstanceAndAnEngineLeaveUnderLoad(@TempDir Path folder)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(folder, 3, 2, 3)) {
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int seed = i;
                callers.add(Thread.ofVirtual().start(() -> stream(cluster, seed)));
                callers.add(Thread.ofVirtual().start(() -> buy(cluster, seed)));
            }
            Waiting.until("load flows", () -> served.get() > 100);
            cluster.engines().get(0).setFaults(EngineFaults.none().withDrain(true));
            long startMs = System.currentTimeMillis();
            cluster.signal("a", "TERM");
            cluster.leave("a");
            int code = cluster.awaitExit("a");
            long tookMs = System.currentTimeMillis() - startMs;
            int before = served.get();
            Waiting.until("load flows on", () -> served.get() > before + 100);
            over.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            System.out.println("event=shutdown served=" + served + " cut=" + cut.size() + " took_ms=" + tookMs);
            assertThat(cut).isEmpty();
            assertThat(code).isZero();
        }
    }

    @Test
    void shouldExitAtOnceOnTheSecondSignal(@TempDir Path folder)
            throws StandinStartException, IOException, InterruptedException {
        try (Cluster cluster = new Cluster(folder, 1, 1, 1)) {
            cluster.signal("a", "TERM");
            Waiting.until(
                    "it drains",
                    () -> cluster.get(cluster.control("a") + "/status")
                            .filter(text -> text.contains("\"draining\":true"))
                            .isPresent());
            cluster.signal("a", "TERM");
            assertThat(cluster.awaitExit("a")).isNotZero();
        }
    }

    private void stream(Cluster cluster, int seed) {
        StreamCaller caller = new StreamCaller(cluster);
        Random random = new Random(seed);
        for (int n = 0; !over.get(); n++) {
            Optional<String> instance = choose(cluster, random);
            if (instance.isEmpty()) {
                continue;
            }
            String prompt = "prompt " + seed + " " + n;
            StreamCaller.Ended ended = caller.callOnce(cluster.caller(instance.get()), prompt, WORDS);
            boolean whole = ended.clean() && ended.text().equals(AnswerText.answerFor("m@1", prompt, WORDS));
            count(whole, instance.get() + " " + prompt + " " + ended.error());
        }
    }

    private void buy(Cluster cluster, int seed) {
        OnceCaller caller = new OnceCaller(cluster);
        Random random = new Random(seed);
        while (!over.get()) {
            List<String> all = cluster.instances();
            Optional<OnceCaller.Asked> asked = caller.ask(all.get(random.nextInt(all.size())));
            if (asked.isEmpty()) {
                continue;
            }
            String owner = asked.get().ticket().owner().name();
            Optional<ExecutionStatus> fate = caller.send(owner, asked.get().text());
            count(fate.equals(Optional.of(ExecutionStatus.RAN)), "call at " + owner + " " + fate);
        }
    }

    private void count(boolean whole, String what) {
        served.incrementAndGet();
        if (!whole) {
            cut.add(what);
        }
    }

    private static Optional<String> choose(Cluster cluster, Random random) {
        List<String> all = cluster.instances();
        List<String> told = cluster.ask(all.get(random.nextInt(all.size())));
        return told.isEmpty() ? Optional.empty() : Optional.of(told.get(random.nextInt(told.size())));
    }
}
