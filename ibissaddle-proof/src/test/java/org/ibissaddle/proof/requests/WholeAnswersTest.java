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
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.LinkFaults;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholeAnswersTest {
    private static final int STREAMS = 2_000;
    private static final int CALLERS = 32;
    private static final int WORDS = 80;
    private static final int ENGINES = 4;

    private Cluster cluster;
    private StreamCaller caller;

    @BeforeAll
    void start(@TempDir Path folder) throws StandinStartException, IOException {
        cluster = new Cluster(folder, 4, 0, ENGINES);
        caller = new StreamCaller(cluster);
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    private static String whole(String prompt) {
        return AnswerText.answerFor("m@1", prompt, WORDS);
    }

    private StreamCaller.Ended call(String prompt, long seed) {
        return caller.call(prompt, WORDS, new Random(seed));
    }

    @Nested
    class OneFault {
        private void faulty(EngineFaults faults) {
            cluster.instances().forEach(name -> cluster.awaitReady(name, 3));
            for (int i = 0; i < 8; i++) {
                cluster.engines().forEach(engine -> engine.setFaults(faults));
                String prompt = "prompt " + faults + i;
                StreamCaller.Ended ended = call(prompt, i);
                assertThat(ended.text()).isEqualTo(whole(prompt));
                assertThat(ended.clean()).isTrue();
                assertThat(ended.resumes()).isZero();
            }
            cluster.engines().forEach(engine -> engine.setFaults(EngineFaults.none()));
        }

        @Test
        void shouldResumeAfterACut() {
            faulty(EngineFaults.none().withCutAfterEvents(7));
        }

        @Test
        void shouldPassNoPieceOfAnotherAnswer() {
            faulty(EngineFaults.none().withCrossNext(1));
        }

        @Test
        void shouldPassNoPieceTwice() {
            faulty(EngineFaults.none().withDuplicateEvery(3));
        }

        @Test
        void shouldNotLeaveOutAPiece() {
            faulty(EngineFaults.none().withGapEvery(30));
        }
    }

    @Nested
    class Callers {
        @Test
        void shouldCancelAtTheEngineWhenTheCallerGoes() {
            cluster.instances().forEach(name -> cluster.awaitReady(name, 3));
            long before = cancels();
            cluster.engines()
                    .forEach(engine -> engine.setFaults(EngineFaults.none().withStallMs(3_000)));
            caller.goAfterHead(cluster.caller("a"), "a prompt whose caller goes");
            Waiting.until("the engine cancels", () -> cancels() > before);
        }

        private long cancels() {
            return cluster.engines().stream()
                    .mapToLong(engine -> engine.stats().cancels())
                    .sum();
        }
    }

    @Nested
    class WithFaults {
        @Test
        @Tag("known-red")
        void shouldEndEveryAnswerWholeOrWithAnExplicitError() throws InterruptedException {
            AtomicBoolean over = new AtomicBoolean();
            ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
            Thread faults = Thread.ofPlatform().start(() -> {
                try {
                    injectFaults(over);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    failures.add(e);
                }
            });
            List<StreamCaller.Ended> ended = callAll();
            over.set(true);
            faults.join();
            assertThat(failures).isEmpty();
            long clean = ended.stream().filter(StreamCaller.Ended::clean).count();
            long resumed = ended.stream()
                    .filter(one -> one.clean() && one.resumes() > 0)
                    .count();
            System.out.println("event=whole-answers streams=" + ended.size() + " clean=" + clean + " resumed_by_caller="
                    + resumed + " errors=" + (ended.size() - clean));
            assertThat(ended).hasSize(STREAMS);
            assertThat(clean).isGreaterThan(STREAMS * 9 / 10);
        }

        private List<StreamCaller.Ended> callAll() throws InterruptedException {
            ConcurrentLinkedQueue<StreamCaller.Ended> ended = new ConcurrentLinkedQueue<>();
            ConcurrentLinkedQueue<Throwable> wrong = new ConcurrentLinkedQueue<>();
            AtomicInteger next = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                threads.add(Thread.ofVirtual().start(() -> {
                    for (int n = next.getAndIncrement(); n < STREAMS; n = next.getAndIncrement()) {
                        String prompt = "stream number " + n;
                        StreamCaller.Ended one = call(prompt, n);
                        boolean right = one.clean()
                                ? one.text().equals(whole(prompt))
                                : whole(prompt).startsWith(one.text());
                        if (!right) {
                            wrong.add(new AssertionError(n + ": " + one));
                        }
                        ended.add(one);
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            assertThat(wrong).isEmpty();
            return List.copyOf(ended);
        }

        private void injectFaults(AtomicBoolean over) throws IOException, InterruptedException, StandinStartException {
            Random random = new Random(78);
            List<String> instances = cluster.instances();
            while (!over.get()) {
                String instance = instances.get(random.nextInt(instances.size()));
                int number = random.nextInt(ENGINES);
                inject(random.nextInt(11), instance, number, random);
                Waiting.pause(150);
            }
            cluster.proxy().healAll();
        }

        private void inject(int kind, String instance, int number, Random random)
                throws IOException, InterruptedException, StandinStartException {
            EngineStandin engine = cluster.engines().get(number);
            String link = "e" + number;
            switch (kind) {
                case 0 -> {
                    cluster.kill(instance);
                    cluster.start(instance);
                    cluster.awaitReady(instance, 3);
                }
                case 1 -> {
                    cluster.signal(instance, "STOP");
                    Waiting.pause(300 + random.nextInt(500));
                    cluster.signal(instance, "CONT");
                }
                case 2 -> during(instance, () -> cluster.proxy().cut(instance, LinkFaults.Cut.TO_CLIENT));
                case 3 -> during(link, () -> cluster.proxy().cut(link, LinkFaults.Cut.BOTH));
                case 4 -> during(link, () -> cluster.proxy().resetAfterBytes(link, 500 + random.nextInt(4_000)));
                case 5 ->
                    during(instance, () -> cluster.proxy().resetAfterBytes(instance, 500 + random.nextInt(4_000)));
                case 6 -> engine.setFaults(EngineFaults.none().withCrossNext(3));
                case 7 -> engine.setFaults(EngineFaults.none().withDuplicateEvery(5));
                case 8 -> engine.setFaults(EngineFaults.none().withGapEvery(40));
                case 9 ->
                    engine.setFaults(EngineFaults.none().withCutAfterEvents(10).withLateMs(50));
                case 10 -> {
                    engine.crash();
                    Waiting.pause(300);
                    engine.restart();
                }
                default -> throw new AssertionError(kind);
            }
        }

        private void during(String link, Runnable fault) {
            fault.run();
            Waiting.pause(400);
            cluster.proxy().heal(link);
        }
    }
}
