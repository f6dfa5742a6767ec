package org.ibissaddle.proof.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.standins.LinkFaults;
import org.ibissaddle.standins.ServiceFaults;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AtMostOnceTest {
    private static final int CALLS = 10_000;
    private static final int CALLERS = 48;
    private static final int MAX_SENDS = 5;
    private static final int SERVICES = 3;

    private Cluster cluster;
    private OnceCaller caller;

    @BeforeAll
    void start(@TempDir Path folder) throws StandinStartException, IOException {
        cluster = new Cluster(folder, 4, SERVICES, 0);
        caller = new OnceCaller(cluster);
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    /** One call and everything that its caller was told. */
    private record Told(String key, Set<ExecutionStatus> fates, boolean answered) {
        ExecutionStatus last() {
            return fates.contains(ExecutionStatus.RAN)
                    ? ExecutionStatus.RAN
                    : fates.contains(ExecutionStatus.NOT_RUN) ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN;
        }
    }

    private Told call(Random random) {
        List<String> instances = cluster.instances();
        Optional<OnceCaller.Asked> asked = Optional.empty();
        while (asked.isEmpty()) {
            asked = caller.ask(instances.get(random.nextInt(instances.size())));
        }
        Set<ExecutionStatus> fates = EnumSet.noneOf(ExecutionStatus.class);
        boolean answered = false;
        String target = asked.get().ticket().owner().name();
        for (int i = 0; i < MAX_SENDS; i++) {
            Optional<ExecutionStatus> fate = caller.send(target, asked.get().text());
            fate.ifPresent(fates::add);
            answered |= fate.isPresent();
            boolean sure = fate.isPresent() && fate.get() != ExecutionStatus.UNKNOWN;
            if (sure && random.nextInt(4) != 0) {
                break;
            }
            target = instances.get(random.nextInt(instances.size()));
        }
        return new Told(asked.get().ticket().key(), fates, answered);
    }

    private List<Told> callAll(int calls, long seed) throws InterruptedException {
        ConcurrentLinkedQueue<Told> told = new ConcurrentLinkedQueue<>();
        AtomicInteger next = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            threads.add(Thread.ofVirtual().start(() -> {
                for (int n = next.getAndIncrement(); n < calls; n = next.getAndIncrement()) {
                    told.add(call(new Random(seed + n)));
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return List.copyOf(told);
    }

    private Map<ExecutionStatus, Integer> check(List<Told> told) {
        Map<String, Integer> arrivals = cluster.arrivals();
        assertThat(arrivals.values()).allMatch(count -> count == 1);
        Map<ExecutionStatus, Integer> counts = new EnumMap<>(ExecutionStatus.class);
        for (Told one : told) {
            boolean ran = arrivals.containsKey(one.key());
            assertThat(one.fates().contains(ExecutionStatus.NOT_RUN) && ran)
                    .as("false not-run of key %s", one.key())
                    .isFalse();
            assertThat(one.fates().contains(ExecutionStatus.RAN) && !ran)
                    .as("false ran of key %s", one.key())
                    .isFalse();
            counts.merge(one.last(), 1, Integer::sum);
        }
        return counts;
    }

    @Nested
    class WithoutFaults {
        @Test
        void shouldRunEveryCallOnceAndSaySo() throws InterruptedException {
            cluster.instances().forEach(name -> cluster.awaitReady(name, 3));
            List<Told> told = callAll(500, 1);
            assertThat(told).allMatch(one -> one.fates().equals(Set.of(ExecutionStatus.RAN)));
            check(told);
        }

        @Test
        void shouldRunOnceWhenTwoInstancesGetTheTicketAtOnce() throws InterruptedException {
            for (int round = 0; round < 100; round++) {
                OnceCaller.Asked asked = caller.ask("a").orElseThrow();
                ConcurrentLinkedQueue<ExecutionStatus> fates = new ConcurrentLinkedQueue<>();
                CountDownLatch start = new CountDownLatch(1);
                List<Thread> threads = new ArrayList<>();
                for (String instance : cluster.instances()) {
                    threads.add(Thread.ofVirtual().start(() -> {
                        awaitQuietly(start);
                        caller.send(instance, asked.text()).ifPresent(fates::add);
                    }));
                }
                start.countDown();
                for (Thread thread : threads) {
                    thread.join();
                }
                assertThat(fates).hasSize(4).containsOnly(ExecutionStatus.RAN);
                assertThat(cluster.arrivals()).containsEntry(asked.ticket().key(), 1);
            }
        }

        @Test
        void shouldRunOnceWhenEachSideOfAPartitionBelievesItselfAlone() {
            cluster.instances().forEach(name -> cluster.proxy().cut(name, LinkFaults.Cut.BOTH));
            OnceCaller.Asked asked = caller.ask("a").orElseThrow();
            assertThat(caller.sendDirectly("b", asked.text()).orElse(ExecutionStatus.UNKNOWN))
                    .isEqualTo(ExecutionStatus.UNKNOWN);
            assertThat(caller.sendDirectly("a", asked.text())).contains(ExecutionStatus.RAN);
            assertThat(caller.sendDirectly("c", asked.text()).orElse(ExecutionStatus.UNKNOWN))
                    .isEqualTo(ExecutionStatus.UNKNOWN);
            cluster.proxy().healAll();
            assertThat(cluster.arrivals()).containsEntry(asked.ticket().key(), 1);
            assertThat(caller.send("b", asked.text())).contains(ExecutionStatus.RAN);
        }

        private void awaitQuietly(CountDownLatch start) {
            try {
                start.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Nested
    class WithFaults {
        @Test
        void shouldRunAtMostOnceAndTellNoLieWhileEverythingFails() throws InterruptedException {
            AtomicBoolean over = new AtomicBoolean();
            ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
            Thread faults = Thread.ofPlatform().start(() -> {
                try {
                    injectFaults(over);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    failures.add(e);
                }
            });
            List<Told> told = callAll(CALLS, 1_000_000);
            over.set(true);
            faults.join();
            assertThat(failures).isEmpty();
            Map<ExecutionStatus, Integer> counts = check(told);
            System.out.println("event=at-most-once calls=" + told.size() + " outcomes=" + counts);
            assertThat(told).hasSize(CALLS);
            assertThat(counts.getOrDefault(ExecutionStatus.RAN, 0)).isGreaterThan(CALLS / 2);
        }

        private void injectFaults(AtomicBoolean over) throws IOException, InterruptedException {
            Random random = new Random(77);
            List<String> instances = cluster.instances();
            while (!over.get()) {
                String instance = instances.get(random.nextInt(instances.size()));
                String service = "s" + random.nextInt(SERVICES);
                inject(random.nextInt(9), instance, service, random);
                Waiting.pause(100);
            }
            cluster.proxy().healAll();
        }

        private void inject(int kind, String instance, String service, Random random)
                throws IOException, InterruptedException {
            switch (kind) {
                case 0 -> {
                    cluster.kill(instance);
                    cluster.start(instance);
                    cluster.awaitReady(instance, 3);
                }
                case 1 -> {
                    cluster.signal(instance, "STOP");
                    Waiting.pause(300 + random.nextInt(900));
                    cluster.signal(instance, "CONT");
                }
                case 2 -> during(instance, 500, () -> cluster.proxy().cut(instance, LinkFaults.Cut.BOTH));
                case 3 -> during(instance, 500, () -> cluster.proxy().cut(instance, LinkFaults.Cut.TO_CLIENT));
                case 4 -> during(service, 500, () -> cluster.proxy().cut(service, LinkFaults.Cut.TO_CLIENT));
                case 5 -> during(service, 500, () -> cluster.proxy().refuse(service));
                case 6 -> during(service, 300, () -> cluster.proxy().resetAfterBytes(service, 1 + random.nextInt(200)));
                case 7 ->
                    during(instance, 300, () -> cluster.proxy().resetAfterBytes(instance, 1 + random.nextInt(200)));
                case 8 -> during(instance, 300, () -> cluster.proxy().duplicateConnection(instance));
                default -> throw new AssertionError(kind);
            }
        }

        private void during(String link, long ms, Runnable fault) {
            fault.run();
            Waiting.pause(ms);
            cluster.proxy().heal(link);
        }
    }

    @Nested
    class ServiceFailures {
        private ExecutionStatus faulty(ServiceFaults faults) {
            return faulty(cluster, faults);
        }

        private ExecutionStatus faulty(Cluster fleet, ServiceFaults faults) {
            int peers = fleet.instances().size() - 1;
            fleet.instances().forEach(name -> fleet.awaitReady(name, peers));
            fleet.services().forEach(service -> service.setFaults(faults));
            OnceCaller client = new OnceCaller(fleet);
            OnceCaller.Asked asked = client.ask("a").orElseThrow();
            ExecutionStatus fate =
                    client.send(asked.ticket().owner().name(), asked.text()).orElseThrow();
            fleet.services().forEach(service -> service.setFaults(ServiceFaults.none()));
            int seen = fleet.arrivals().getOrDefault(asked.ticket().key(), 0);
            assertThat(seen).isEqualTo(faults.drain() ? 0 : 1);
            return fate;
        }

        @Test
        void shouldNotRepeatOn503WithRetryAfterZero() {
            assertThat(faulty(new ServiceFaults(0, 0, 9, 0, false, 0))).isEqualTo(ExecutionStatus.RAN);
        }

        @Test
        void shouldNotFollowRedirects() {
            assertThat(faulty(new ServiceFaults(0, 0, 0, 9, false, 0))).isEqualTo(ExecutionStatus.RAN);
        }

        @Test
        void shouldSayUnknownWhenTheConnectionClosesBeforeTheAnswer() {
            assertThat(faulty(new ServiceFaults(0, 9, 0, 0, false, 0))).isEqualTo(ExecutionStatus.UNKNOWN);
        }

        @Test
        void shouldSayNotRunWhenEveryServerSaysSo(@TempDir Path own) throws StandinStartException, IOException {
            try (Cluster apart = new Cluster(own, 2, SERVICES, 0)) {
                assertThat(faulty(apart, new ServiceFaults(0, 0, 0, 0, true, 0)))
                        .isEqualTo(ExecutionStatus.NOT_RUN);
            }
        }

        @Test
        void shouldMeetNoStaleConnection() {
            for (int i = 0; i < 20; i++) {
                assertThat(faulty(new ServiceFaults(0, 0, 0, 0, false, 1))).isEqualTo(ExecutionStatus.RAN);
            }
        }
    }
}
