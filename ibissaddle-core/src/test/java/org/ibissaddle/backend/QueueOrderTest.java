package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Load pattern: more requests than the servers can serve, from workspaces of which one sends eight times as much. */
class QueueOrderTest {
    private static final long OBJECTIVE_MS = 500;
    private static final long TIMEOUT_MS = 5_000;

    private final QueueOrder<String> queue = new QueueOrder<>();

    private static QueueOrder.Waiter waiter(String workspace, String kind, int priority, double costMs, long nowMs) {
        return new QueueOrder.Waiter(
                workspace, kind, priority, costMs, nowMs, nowMs + OBJECTIVE_MS, nowMs + TIMEOUT_MS);
    }

    private void add(String workspace, int priority, long nowMs) {
        queue.add(workspace, waiter(workspace, "chat", priority, 10, nowMs), nowMs);
    }

    private String serveNext(long nowMs) {
        QueueOrder.Entry<String> entry = queue.next(1, nowMs).getFirst();
        queue.served(entry, nowMs);
        return entry.request();
    }

    private Map<String, Integer> serve(int count, long nowMs) {
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < count; i++) {
            served.merge(serveNext(nowMs), 1, Integer::sum);
        }
        return served;
    }

    @Nested
    class Fairness {
        /** Guards against arrival order, in which a spike of one workspace pushes out all others. */
        @Test
        void shouldServeASmallWorkspaceDuringTheSpikeOfAnother() {
            for (int i = 0; i < 160; i++) {
                add("spike", 0, 0);
            }
            for (int i = 0; i < 20; i++) {
                add("small", 0, 0);
            }

            assertThat(serve(45, 0).get("small")).isGreaterThanOrEqualTo(18);
        }

        /** Guards against a workspace that is charged again for requests that were refused or cancelled. */
        @Test
        void shouldNotChargeRequestsThatWereNotServed() {
            add("other", 0, 0);
            add("retrying", 0, 0);
            for (int i = 0; i < 50; i++) {
                queue.remove(queue.add("retrying", waiter("retrying", "chat", 0, 10, 0), 0));
            }
            for (int i = 0; i < 10; i++) {
                add("other", 0, 0);
                add("retrying", 0, 0);
            }

            assertThat(serve(12, 0).get("retrying")).isBetween(5, 7);
        }

        /** Guards against long prompts that delay the cheap requests of their own workspace. */
        @Test
        void shouldServeMoreCheapRequestsThanExpensiveOnesOfAWorkspace() {
            for (int i = 0; i < 20; i++) {
                queue.add("long", waiter("w", "long", 0, 100, 0), 0);
                queue.add("short", waiter("w", "short", 0, 10, 0), 0);
            }

            assertThat(serve(20, 0).get("short")).isGreaterThanOrEqualTo(16);
        }
    }

    @Nested
    class Order {
        @Test
        void shouldServeByPriorityThenByArrival() {
            add("second", 1, 0);
            add("first", 0, 0);
            add("third", 1, 0);

            assertThat(serveNext(0)).isEqualTo("first");
            assertThat(serveNext(0)).isEqualTo("second");
            assertThat(serveNext(0)).isEqualTo("third");
        }

        /** Guards against a queue that serves only requests that are late already. */
        @Test
        void shouldServeRequestsThatCanBeInTimeBeforeLateOnes() {
            add("late", 0, 0);
            add("fresh", 2, OBJECTIVE_MS);

            assertThat(serveNext(OBJECTIVE_MS)).isEqualTo("fresh");
            assertThat(queue.lateSize()).isOne();
            assertThat(serveNext(OBJECTIVE_MS)).isEqualTo("late");
        }

        /** Guards against a low priority that gets nothing as long as a spike of a higher one lasts. */
        @Test
        void shouldGiveAShareToTheRequestThatHasWaitedLongest() {
            for (int i = 0; i < 5; i++) {
                add("low", 5, 0);
            }
            for (int i = 0; i < 100; i++) {
                add("high", 0, 0);
            }

            assertThat(serve(40, 0).get("low")).isBetween(4, 5);
        }
    }

    @Nested
    class GivingUp {
        /** Guards against a rate that includes times without waiting requests, which looks like a stalled queue. */
        @Test
        void shouldNotPredictAWaitFromTimesWithoutWaitingRequests() {
            add("w", 0, 0);
            serveNext(0);
            add("w", 0, 900);

            assertThat(queue.predictedWaitMs(waiter("w", "chat", 0, 10, 900), 900))
                    .isZero();
        }

        @Test
        void shouldGiveUpWhatCannotBeCompleteBeforeItsTimeout() {
            QueueOrder.Waiter waiter = waiter("w", "chat", 0, 10, 0);
            add("w", 0, 0);
            serveNext(10);

            assertThat(queue.shouldGiveUp(waiter, OBJECTIVE_MS + 100)).isEmpty();
            assertThat(queue.shouldGiveUp(waiter, TIMEOUT_MS)).contains(QueueOrder.GiveUpReason.TIMEOUT);
        }

        /** Guards against requests that wait for servers of which none accepts any. */
        @Test
        void shouldGiveUpAtTheObjectiveWhileNothingIsServed() {
            QueueOrder.Waiter waiter = waiter("w", "chat", 0, 10, 0);

            assertThat(queue.shouldGiveUp(waiter, OBJECTIVE_MS)).contains(QueueOrder.GiveUpReason.NO_PROGRESS);
        }

        /** Guards against a queue that grows beyond what can be served before the timeouts of its requests. */
        @Test
        void shouldPredictTheWaitFromTheRateOfServedRequests() {
            for (int i = 0; i < 300; i++) {
                queue.add("w", new QueueOrder.Waiter("w", "chat", 0, 10, 0, TIMEOUT_MS, TIMEOUT_MS), 0);
            }
            for (int i = 0; i < 100; i++) {
                serveNext(i * 10L);
            }

            assertThat(queue.predictedWaitMs(waiter("w", "chat", 0, 10, 990), 990))
                    .isBetween(1_800L, 2_200L);
            assertThat(queue.predictedWaitMs(waiter("small", "chat", 0, 10, 990), 990))
                    .isLessThan(100);
        }
    }
}
