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
    private AtMostOnceClient caller;

    @BeforeAll
    void start(@TempDir Path directory) throws StandinStartException, IOException {
        cluster = new Cluster(directory, 4, SERVICES, 0);
        caller = new AtMostOnceClient(cluster);
    }

    @AfterAll
    void stop() {
        cluster.close();
    }

    /** A call with all outcomes that were reported to its client. */
    private record CallRecord(String key, Set<ExecutionStatus> statuses, boolean answered) {
        ExecutionStatus overallStatus() {
            return statuses.contains(ExecutionStatus.RAN)
                    ? ExecutionStatus.RAN
                    : statuses.contains(ExecutionStatus.NOT_RUN) ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN;
        }
    }

    private CallRecord sendCall(Random random) {
        List<String> instances = cluster.instanceNames();
        Optional<AtMostOnceClient.IssuedTicket> issued = Optional.empty();
        while (issued.isEmpty()) {
            issued = caller.requestTicket(instances.get(random.nextInt(instances.size())));
        }
        Set<ExecutionStatus> statuses = EnumSet.noneOf(ExecutionStatus.class);
        boolean answered = false;
        String targetInstance = issued.get().ticket().owner().name();
        for (int i = 0; i < MAX_SENDS; i++) {
            Optional<ExecutionStatus> status =
                    caller.send(targetInstance, issued.get().encoded());
            status.ifPresent(statuses::add);
            answered |= status.isPresent();
            boolean definite = status.isPresent() && status.get() != ExecutionStatus.UNKNOWN;
            if (definite && random.nextInt(4) != 0) {
                break;
            }
            targetInstance = instances.get(random.nextInt(instances.size()));
        }
        return new CallRecord(issued.get().ticket().key(), statuses, answered);
    }

    private List<CallRecord> sendCalls(int calls, long seed) throws InterruptedException {
        ConcurrentLinkedQueue<CallRecord> records = new ConcurrentLinkedQueue<>();
        AtomicInteger next = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            threads.add(Thread.ofVirtual().start(() -> {
                for (int n = next.getAndIncrement(); n < calls; n = next.getAndIncrement()) {
                    records.add(sendCall(new Random(seed + n)));
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return List.copyOf(records);
    }

    private Map<ExecutionStatus, Integer> verifyExecutions(List<CallRecord> records) {
        Map<String, Integer> executions = cluster.executionCounts();
        assertThat(executions.values()).allMatch(count -> count == 1);
        Map<ExecutionStatus, Integer> counts = new EnumMap<>(ExecutionStatus.class);
        for (CallRecord entry : records) {
            boolean ran = executions.containsKey(entry.key());
            assertThat(entry.statuses().contains(ExecutionStatus.NOT_RUN) && ran)
                    .as("key %s was reported as not-run but ran", entry.key())
                    .isFalse();
            assertThat(entry.statuses().contains(ExecutionStatus.RAN) && !ran)
                    .as("key %s was reported as ran but did not run", entry.key())
                    .isFalse();
            counts.merge(entry.overallStatus(), 1, Integer::sum);
        }
        return counts;
    }

    @Nested
    class WithoutFaults {
        @Test
        void shouldRunEachCallExactlyOnceAndReportIt() throws InterruptedException {
            cluster.instanceNames().forEach(name -> cluster.awaitReady(name, 3));
            List<CallRecord> records = sendCalls(500, 1);
            assertThat(records).allMatch(entry -> entry.statuses().equals(Set.of(ExecutionStatus.RAN)));
            verifyExecutions(records);
        }

        @Test
        void shouldRunOnceWhenAllInstancesReceiveTheTicketConcurrently() throws InterruptedException {
            for (int round = 0; round < 100; round++) {
                AtMostOnceClient.IssuedTicket issued = caller.requestTicket("a").orElseThrow();
                ConcurrentLinkedQueue<ExecutionStatus> statuses = new ConcurrentLinkedQueue<>();
                CountDownLatch start = new CountDownLatch(1);
                List<Thread> threads = new ArrayList<>();
                for (String instance : cluster.instanceNames()) {
                    threads.add(Thread.ofVirtual().start(() -> {
                        awaitStart(start);
                        caller.send(instance, issued.encoded()).ifPresent(statuses::add);
                    }));
                }
                start.countDown();
                for (Thread thread : threads) {
                    thread.join();
                }
                assertThat(statuses).hasSize(4).containsOnly(ExecutionStatus.RAN);
                assertThat(cluster.executionCounts())
                        .containsEntry(issued.ticket().key(), 1);
            }
        }

        @Test
        void shouldRunOnceWhileAllCallerLinksAreCut() {
            cluster.instanceNames().forEach(name -> cluster.proxy().cut(name, LinkFaults.Cut.BOTH));
            AtMostOnceClient.IssuedTicket issued = caller.requestTicket("a").orElseThrow();
            assertThat(caller.sendBypassingProxy("b", issued.encoded()).orElse(ExecutionStatus.UNKNOWN))
                    .isEqualTo(ExecutionStatus.UNKNOWN);
            assertThat(caller.sendBypassingProxy("a", issued.encoded())).contains(ExecutionStatus.RAN);
            assertThat(caller.sendBypassingProxy("c", issued.encoded()).orElse(ExecutionStatus.UNKNOWN))
                    .isEqualTo(ExecutionStatus.UNKNOWN);
            cluster.proxy().healAll();
            assertThat(cluster.executionCounts()).containsEntry(issued.ticket().key(), 1);
            assertThat(caller.send("b", issued.encoded())).contains(ExecutionStatus.RAN);
        }

        private void awaitStart(CountDownLatch start) {
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
        void shouldRunAtMostOnceAndReportNoFalseOutcomeUnderFaults() throws InterruptedException {
            AtomicBoolean finished = new AtomicBoolean();
            ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
            Thread faults = Thread.ofPlatform().start(() -> {
                try {
                    injectFaults(finished);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    failures.add(e);
                }
            });
            List<CallRecord> records = sendCalls(CALLS, 1_000_000);
            finished.set(true);
            faults.join();
            assertThat(failures).isEmpty();
            Map<ExecutionStatus, Integer> counts = verifyExecutions(records);
            System.out.println("event=at-most-once calls=" + records.size() + " outcomes=" + counts);
            assertThat(records).hasSize(CALLS);
            assertThat(counts.getOrDefault(ExecutionStatus.RAN, 0)).isGreaterThan(CALLS / 2);
        }

        private void injectFaults(AtomicBoolean finished) throws IOException, InterruptedException {
            Random random = new Random(77);
            List<String> instances = cluster.instanceNames();
            while (!finished.get()) {
                String instance = instances.get(random.nextInt(instances.size()));
                String service = "s" + random.nextInt(SERVICES);
                inject(random.nextInt(9), instance, service, random);
                Polling.sleep(100);
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
                    Polling.sleep(300 + random.nextInt(900));
                    cluster.signal(instance, "CONT");
                }
                case 2 -> applyTemporarily(instance, 500, () -> cluster.proxy().cut(instance, LinkFaults.Cut.BOTH));
                case 3 ->
                    applyTemporarily(instance, 500, () -> cluster.proxy().cut(instance, LinkFaults.Cut.TO_CLIENT));
                case 4 -> applyTemporarily(service, 500, () -> cluster.proxy().cut(service, LinkFaults.Cut.TO_CLIENT));
                case 5 -> applyTemporarily(service, 500, () -> cluster.proxy().refuse(service));
                case 6 ->
                    applyTemporarily(
                            service, 300, () -> cluster.proxy().resetAfterBytes(service, 1 + random.nextInt(200)));
                case 7 ->
                    applyTemporarily(
                            instance, 300, () -> cluster.proxy().resetAfterBytes(instance, 1 + random.nextInt(200)));
                case 8 -> applyTemporarily(instance, 300, () -> cluster.proxy().duplicateConnection(instance));
                default -> throw new AssertionError(kind);
            }
        }

        private void applyTemporarily(String link, long ms, Runnable fault) {
            fault.run();
            Polling.sleep(ms);
            cluster.proxy().heal(link);
        }
    }

    @Nested
    class ServiceFailures {
        private ExecutionStatus sendUnderFaults(ServiceFaults faults) {
            return sendUnderFaults(cluster, faults);
        }

        private ExecutionStatus sendUnderFaults(Cluster fleet, ServiceFaults faults) {
            int peers = fleet.instanceNames().size() - 1;
            fleet.instanceNames().forEach(name -> fleet.awaitReady(name, peers));
            fleet.services().forEach(service -> service.setFaults(faults));
            AtMostOnceClient client = new AtMostOnceClient(fleet);
            AtMostOnceClient.IssuedTicket issued = client.requestTicket("a").orElseThrow();
            ExecutionStatus status = client.send(issued.ticket().owner().name(), issued.encoded())
                    .orElseThrow();
            fleet.services().forEach(service -> service.setFaults(ServiceFaults.none()));
            int executions =
                    fleet.executionCounts().getOrDefault(issued.ticket().key(), 0);
            assertThat(executions).isEqualTo(faults.drain() ? 0 : 1);
            return status;
        }

        @Test
        void shouldNotRepeatOn503WithRetryAfterZero() {
            assertThat(sendUnderFaults(new ServiceFaults(0, 0, 9, 0, false, 0))).isEqualTo(ExecutionStatus.RAN);
        }

        @Test
        void shouldNotFollowRedirects() {
            assertThat(sendUnderFaults(new ServiceFaults(0, 0, 0, 9, false, 0))).isEqualTo(ExecutionStatus.RAN);
        }

        @Test
        void shouldReportUnknownWhenTheConnectionIsClosedBeforeTheResponse() {
            assertThat(sendUnderFaults(new ServiceFaults(0, 9, 0, 0, false, 0))).isEqualTo(ExecutionStatus.UNKNOWN);
        }

        @Test
        void shouldReportNotRunWhenEveryServerRefusesTheCall(@TempDir Path directory)
                throws StandinStartException, IOException {
            try (Cluster isolated = new Cluster(directory, 2, SERVICES, 0)) {
                assertThat(sendUnderFaults(isolated, new ServiceFaults(0, 0, 0, 0, true, 0)))
                        .isEqualTo(ExecutionStatus.NOT_RUN);
            }
        }

        @Test
        void shouldNeverReuseAStaleConnection() {
            for (int i = 0; i < 20; i++) {
                assertThat(sendUnderFaults(new ServiceFaults(0, 0, 0, 0, false, 1)))
                        .isEqualTo(ExecutionStatus.RAN);
            }
        }
    }
}
