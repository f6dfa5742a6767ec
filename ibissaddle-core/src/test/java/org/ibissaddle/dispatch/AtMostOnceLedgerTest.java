package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.ticket.Ticket;
import org.junit.jupiter.api.Test;

class AtMostOnceLedgerTest {
    private static final InstanceId SELF = new InstanceId("a");
    private static final Incarnation FIRST = new Incarnation(1, 1);
    private static final AtMostOnceLimits LIMITS = new AtMostOnceLimits(4, 8, 16, 50);
    private static final long DEADLINE_MS = 100;

    private static Ticket ticket(String key, Incarnation incarnation) {
        return new Ticket(key, new PoolId("p"), new WorkspaceId("w"), "c", SELF, incarnation, DEADLINE_MS);
    }

    private static Outcome ran(int bytes) {
        return new Outcome.Ran(new Answer(200, Map.of(), new byte[bytes]));
    }

    private static Permit claimPermit(AtMostOnceLedger ledger, String key) {
        return ((Claim.Run) ledger.claim(ticket(key, FIRST), 0)).permit();
    }

    private static ExecutionStatus status(AtMostOnceLedger ledger, String key, long nowMs) {
        return ((Claim.Known) ledger.claim(ticket(key, FIRST), nowMs)).outcome().executionStatus();
    }

    @Test
    void shouldIssueOnePermitToConcurrentClaims() throws InterruptedException {
        for (int round = 0; round < 200; round++) {
            AtMostOnceLedger ledger = new AtMostOnceLedger(SELF, FIRST, LIMITS);
            CountDownLatch start = new CountDownLatch(1);
            AtomicInteger permits = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                threads.add(Thread.ofVirtual().start(() -> {
                    awaitUnchecked(start);
                    Claim claim = ledger.claim(ticket("k", FIRST), 0);
                    if (claim instanceof Claim.Run run && run.permit().maySend(0)) {
                        permits.incrementAndGet();
                    }
                }));
            }
            start.countDown();
            for (Thread thread : threads) {
                thread.join();
            }
            assertThat(permits).hasValue(1);
        }
    }

    private static void awaitUnchecked(CountDownLatch start) {
        try {
            start.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void shouldNotExecuteKeyAfterReportingNotRun() {
        AtMostOnceLedger ledger = new AtMostOnceLedger(SELF, FIRST, LIMITS);
        Permit permit = claimPermit(ledger, "k");
        permit.completeAfterFailure();
        assertThat(status(ledger, "k", 1)).isEqualTo(ExecutionStatus.NOT_RUN);
        assertThat(permit.maySend(1)).isFalse();
    }

    @Test
    void shouldNotSendAfterPauseBeyondDeadline() {
        AtMostOnceLedger ledger = new AtMostOnceLedger(SELF, FIRST, LIMITS);
        Permit permit = claimPermit(ledger, "k");
        assertThat(permit.maySend(DEADLINE_MS)).isFalse();
        permit.completeAfterFailure();
        assertThat(status(ledger, "k", DEADLINE_MS)).isEqualTo(ExecutionStatus.NOT_RUN);
    }

    @Test
    void shouldReportUnknownAfterRestart() {
        AtMostOnceLedger restarted = new AtMostOnceLedger(SELF, new Incarnation(2, 1), LIMITS);
        assertThat(status(restarted, "k", 0)).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    @Test
    void shouldReportUnknownForExpiredKeyWhenClockIsSetBack() {
        AtMostOnceLedger ledger = new AtMostOnceLedger(SELF, FIRST, LIMITS);
        Permit permit = claimPermit(ledger, "k");
        assertThat(permit.maySend(1)).isTrue();
        permit.complete(ran(1));
        ledger.expire(DEADLINE_MS + LIMITS.retentionAfterDeadlineMs());
        assertThat(ledger.size()).isZero();
        assertThat(ledger.answerBytes()).isZero();
        assertThat(status(ledger, "k", 0)).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    @Test
    void shouldEnforceLimits() {
        AtMostOnceLedger ledger = new AtMostOnceLedger(SELF, FIRST, LIMITS);
        for (int i = 0; i < LIMITS.maxKeys(); i++) {
            Permit permit = claimPermit(ledger, "k" + i);
            assertThat(permit.maySend(0)).isTrue();
            permit.complete(ran(i == 3 ? 9 : 8));
        }
        assertThat(ledger.hasCapacity()).isFalse();
        assertThat(ledger.answerBytes()).isEqualTo(16);
        assertThat(status(ledger, "k3", 0)).isEqualTo(ExecutionStatus.RAN);
        assertThat(status(ledger, "more", 0)).isEqualTo(ExecutionStatus.UNKNOWN);
    }

    @Test
    void shouldRejectRefusalOfCallThatWasNotSent() {
        Permit permit = claimPermit(new AtMostOnceLedger(SELF, FIRST, LIMITS), "k");
        assertThatThrownBy(permit::recordRefusal).isInstanceOf(IllegalStateException.class);
    }

    /** One event of an interleaving, for the key with the given number. */
    record Event(EventKind kind, int key) {}

    enum EventKind {
        CLAIM,
        WRITE,
        RECEIVER_REFUSES,
        ANSWER,
        LOSE_ANSWER,
        REPORT_NOTHING_SENT,
        EXECUTOR_FAILS,
        RESTART,
        PAUSE,
        CLOCK_BACK,
        EXPIRE
    }

    @Provide
    Arbitrary<List<Event>> interleavings() {
        return Arbitraries.of(EventKind.values())
                .flatMap(kind -> Arbitraries.integers().between(0, 2).map(key -> new Event(kind, key)))
                .list()
                .ofMinSize(5)
                .ofMaxSize(60);
    }

    @Property(seed = "4711", tries = 5_000)
    void shouldExecuteAtMostOnceAndReportExecutionStatusCorrectly(@ForAll("interleavings") List<Event> events) {
        Model model = new Model();
        events.forEach(model::apply);
    }

    /**
     * Tracks the calls that reached the service and the statuses reported to callers, and compares them with the
     * ledger.
     */
    private static final class Model {
        private final Map<Integer, Optional<Permit>> permitsByKey = new java.util.HashMap<>();
        private final Map<Integer, Integer> arrivals = new java.util.HashMap<>();
        private final Map<Integer, ExecutionStatus> reportedStatuses = new java.util.HashMap<>();
        private AtMostOnceLedger ledger = new AtMostOnceLedger(SELF, FIRST, LIMITS);
        private int startedAtMs = 1;
        private long nowMs;

        void apply(Event event) {
            nowMs++;
            Optional<Permit> permit = permitsByKey.getOrDefault(event.key(), Optional.empty());
            switch (event.kind()) {
                case CLAIM -> claim(event.key());
                case WRITE ->
                    permit.filter(claimed -> claimed.maySend(nowMs))
                            .ifPresent(claimed -> arrivals.merge(event.key(), 1, Integer::sum));
                case RECEIVER_REFUSES -> permit.ifPresent(claimed -> withdraw(event.key(), claimed));
                case ANSWER ->
                    permit.filter(claimed -> arrivals.getOrDefault(event.key(), 0) > 0)
                            .ifPresent(claimed -> recordStatus(event.key(), claimed.complete(ran(1))));
                case LOSE_ANSWER ->
                    permit.ifPresent(claimed -> recordStatus(event.key(), claimed.complete(answerLost())));
                case REPORT_NOTHING_SENT ->
                    permit.ifPresent(claimed -> recordStatus(event.key(), claimed.complete(nothingSent())));
                case EXECUTOR_FAILS -> permit.ifPresent(Permit::completeAfterFailure);
                case RESTART -> restart();
                case PAUSE -> nowMs += 40;
                case CLOCK_BACK -> nowMs -= 30;
                case EXPIRE -> ledger.expire(nowMs);
            }
            check();
        }

        private void claim(int key) {
            switch (ledger.claim(ticket("k" + key, FIRST), nowMs)) {
                case Claim.Run run -> permitsByKey.put(key, Optional.of(run.permit()));
                case Claim.Known known -> recordStatus(key, known.outcome());
                case Claim.Wait wait -> wait.outcome().thenAccept(outcome -> recordStatus(key, outcome));
                case Claim.OwnedElsewhere elsewhere -> throw new AssertionError(elsewhere);
            }
        }

        private void withdraw(int key, Permit permit) {
            try {
                permit.recordRefusal();
                arrivals.merge(key, -1, Integer::sum);
            } catch (IllegalStateException e) {
                assertThat(e).hasMessageContaining("was not being sent");
            }
        }

        private void restart() {
            startedAtMs++;
            ledger = new AtMostOnceLedger(SELF, new Incarnation(startedAtMs, 1), LIMITS);
            permitsByKey.clear();
        }

        private void recordStatus(int key, Outcome outcome) {
            reportedStatuses.merge(key, outcome.executionStatus(), (previous, latest) -> {
                assertThat(latest == ExecutionStatus.UNKNOWN
                                || previous == ExecutionStatus.UNKNOWN
                                || latest == previous)
                        .isTrue();
                return latest == ExecutionStatus.UNKNOWN ? previous : latest;
            });
        }

        private void check() {
            arrivals.forEach((key, count) -> assertThat(count).isBetween(0, 1));
            reportedStatuses.forEach((key, status) -> {
                int ran = arrivals.getOrDefault(key, 0);
                assertThat(status == ExecutionStatus.NOT_RUN && ran > 0)
                        .as("false not-run")
                        .isFalse();
                assertThat(status == ExecutionStatus.RAN && ran == 0)
                        .as("false ran")
                        .isFalse();
            });
        }

        private static Outcome answerLost() {
            return new Outcome.Unknown(Refusal.of(RefusalType.BACKEND_FAILED, "lost", ExecutionStatus.UNKNOWN));
        }

        private static Outcome nothingSent() {
            Refusal refusal = Refusal.of(RefusalType.NO_SERVER, "none", ExecutionStatus.NOT_RUN);
            return new Outcome.NotRun(new NotRunProof.NothingSent(), refusal);
        }
    }
}
