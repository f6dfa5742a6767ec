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
import org.ibissaddle.standins.LinkFaults;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholeAnswersTest {
    private static final int STREAMS = 2_000;
    private static final int CALLERS = 32;
    private static final int MAX_TOKENS = 80;
    private static final int ENGINES = 4;

    private Cluster cluster;
    private StreamClient caller;

    @BeforeAll
    void start(@TempDir Path directory) throws StandinStartException, IOException {
        cluster = new Cluster(directory, 4, 0, ENGINES);
        caller = new StreamClient(cluster);
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    private static String expectedAnswer(String prompt) {
        return ResponseText.textFor("m@1", prompt, MAX_TOKENS);
    }

    private StreamClient.Result call(String prompt, long seed) {
        return caller.callWithRetries(prompt, MAX_TOKENS, new Random(seed));
    }

    @Nested
    class SingleFault {
        private void assertCompleteUnderFaults(EngineFaults faults) {
            cluster.instanceNames().forEach(name -> cluster.awaitReady(name, 3));
            for (int i = 0; i < 8; i++) {
                cluster.engines().forEach(engine -> engine.setFaults(faults));
                String prompt = "prompt " + faults + i;
                StreamClient.Result result = call(prompt, i);
                assertThat(result.text()).isEqualTo(expectedAnswer(prompt));
                assertThat(result.complete()).isTrue();
                assertThat(result.resumes()).isZero();
            }
            cluster.engines().forEach(engine -> engine.setFaults(EngineFaults.none()));
        }

        @Test
        void shouldResumeAfterATruncatedStream() {
            assertCompleteUnderFaults(EngineFaults.none().withCutAfterEvents(7));
        }

        @Test
        void shouldNotForwardEventsOfAnotherAnswer() {
            assertCompleteUnderFaults(EngineFaults.none().withCrossNext(1));
        }

        @Test
        void shouldNotForwardDuplicateEvents() {
            assertCompleteUnderFaults(EngineFaults.none().withDuplicateEvery(3));
        }

        @Test
        void shouldRecoverMissingEvents() {
            assertCompleteUnderFaults(EngineFaults.none().withGapEvery(30));
        }
    }

    @Nested
    class Cancellation {
        @Test
        void shouldCancelAtTheEngineWhenTheClientDisconnects() {
            cluster.instanceNames().forEach(name -> cluster.awaitReady(name, 3));
            long before = totalCancels();
            cluster.engines()
                    .forEach(engine -> engine.setFaults(EngineFaults.none().withStallMs(3_000)));
            caller.disconnectAfterHeaders(cluster.callerUrl("a"), "a prompt whose client disconnects");
            Polling.until("the engine has cancelled the request", () -> totalCancels() > before);
        }

        private long totalCancels() {
            return cluster.engines().stream()
                    .mapToLong(engine -> engine.stats().cancels())
                    .sum();
        }
    }

    @Nested
    class WithFaults {
        @Test
        void shouldEndEveryAnswerWholeOrWithAnExplicitError() throws InterruptedException {
            AtomicBoolean finished = new AtomicBoolean();
            ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
            Thread faults = Thread.ofPlatform().start(() -> {
                try {
                    injectFaults(finished);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    failures.add(e);
                }
            });
            List<StreamClient.Result> results = sendCalls();
            finished.set(true);
            faults.join();
            assertThat(failures).isEmpty();
            long clean = results.stream().filter(StreamClient.Result::complete).count();
            long resumed = results.stream()
                    .filter(result -> result.complete() && result.resumes() > 0)
                    .count();
            System.out.println("event=whole-answers streams=" + results.size() + " clean=" + clean
                    + " resumed_by_caller=" + resumed + " errors=" + (results.size() - clean));
            assertThat(results).hasSize(STREAMS);
            assertThat(clean).isGreaterThan(STREAMS * 9 / 10);
        }

        private List<StreamClient.Result> sendCalls() throws InterruptedException {
            ConcurrentLinkedQueue<StreamClient.Result> results = new ConcurrentLinkedQueue<>();
            ConcurrentLinkedQueue<Throwable> mismatches = new ConcurrentLinkedQueue<>();
            AtomicInteger next = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                threads.add(Thread.ofVirtual().start(() -> {
                    for (int n = next.getAndIncrement(); n < STREAMS; n = next.getAndIncrement()) {
                        String prompt = "stream number " + n;
                        StreamClient.Result result = call(prompt, n);
                        boolean matches = result.complete()
                                ? result.text().equals(expectedAnswer(prompt))
                                : expectedAnswer(prompt).startsWith(result.text());
                        if (!matches) {
                            mismatches.add(new AssertionError(n + ": " + result));
                        }
                        results.add(result);
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            assertThat(mismatches).isEmpty();
            return List.copyOf(results);
        }

        private void injectFaults(AtomicBoolean finished)
                throws IOException, InterruptedException, StandinStartException {
            Random random = new Random(78);
            List<String> instances = cluster.instanceNames();
            while (!finished.get()) {
                String instance = instances.get(random.nextInt(instances.size()));
                int engineIndex = random.nextInt(ENGINES);
                inject(random.nextInt(11), instance, engineIndex, random);
                Polling.sleep(150);
            }
            cluster.proxy().healAll();
        }

        private void inject(int kind, String instance, int engineIndex, Random random)
                throws IOException, InterruptedException, StandinStartException {
            EngineStandin engine = cluster.engines().get(engineIndex);
            String linkName = "e" + engineIndex;
            switch (kind) {
                case 0 -> {
                    cluster.kill(instance);
                    cluster.start(instance);
                    cluster.awaitReady(instance, 3);
                }
                case 1 -> {
                    cluster.signal(instance, "STOP");
                    Polling.sleep(300 + random.nextInt(500));
                    cluster.signal(instance, "CONT");
                }
                case 2 -> applyTemporarily(instance, () -> cluster.proxy().cut(instance, LinkFaults.Cut.TO_CLIENT));
                case 3 -> applyTemporarily(linkName, () -> cluster.proxy().cut(linkName, LinkFaults.Cut.BOTH));
                case 4 ->
                    applyTemporarily(
                            linkName, () -> cluster.proxy().resetAfterBytes(linkName, 500 + random.nextInt(4_000)));
                case 5 ->
                    applyTemporarily(
                            instance, () -> cluster.proxy().resetAfterBytes(instance, 500 + random.nextInt(4_000)));
                case 6 -> engine.setFaults(EngineFaults.none().withCrossNext(3));
                case 7 -> engine.setFaults(EngineFaults.none().withDuplicateEvery(5));
                case 8 -> engine.setFaults(EngineFaults.none().withGapEvery(40));
                case 9 ->
                    engine.setFaults(EngineFaults.none().withCutAfterEvents(10).withLateMs(50));
                case 10 -> {
                    engine.crash();
                    Polling.sleep(300);
                    engine.restart();
                }
                default -> throw new AssertionError(kind);
            }
        }

        private void applyTemporarily(String linkName, Runnable fault) {
            fault.run();
            Polling.sleep(400);
            cluster.proxy().heal(linkName);
        }
    }
}
