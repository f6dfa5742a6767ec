package org.ibissaddle.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.PlacementRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final long NOW_MS = 5_000_000;
    private static final double TARGET_MS = 660;
    private static final double BUSY_WAIT_MS = 2_000;
    private static final PoolId POOL = new PoolId("p");

    private static Workspace workspace(String name, double perSecond, double weight, int priority) {
        return new Workspace(new WorkspaceId(name), Optional.empty(), perSecond, weight, priority);
    }

    private static PlacementRequest request(String id, Workspace workspace, long deadlineMs) {
        return new PlacementRequest(
                new RequestId(id),
                workspace,
                POOL,
                Optional.empty(),
                workspace.priority(),
                deadlineMs,
                800,
                100,
                List.of(),
                Set.of(),
                List.of());
    }

    @Nested
    class Queueing {
        private final Admission admission = Admissions.fair(8, 1);
        private final Workspace heavy = workspace("heavy", 100, 1, 0);
        private final Workspace light = workspace("light", 100, 1, 0);

        @Test
        void shouldStartImmediatelyWhileThePoolIsFree() {
            assertThat(admission.admit(request("r", heavy, NOW_MS + 9_000), 10, TARGET_MS, NOW_MS))
                    .isInstanceOf(Admission.Start.class);
        }

        @Test
        void shouldStartALightWorkspaceBeforeTheBacklogOfAHeavyOne() {
            for (int i = 0; i < 6; i++) {
                admission.admit(request("h" + i, heavy, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            }
            admission.admit(request("l", light, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            List<String> order = startOrder();
            assertThat(order.indexOf("l")).isLessThanOrEqualTo(1);
        }

        @Test
        void shouldServeTheHigherPriorityOfAWorkspaceFirst() {
            admission.admit(request("low", heavy, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            Workspace urgent = workspace("heavy", 100, 1, 9);
            admission.admit(request("high", urgent, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            assertThat(startOrder()).containsExactly("high", "low");
        }

        @Test
        void shouldDisplaceTheLastRequestFromAFullQueue() {
            for (int i = 0; i < 8; i++) {
                admission.admit(request("h" + i, heavy, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            }
            Admission.AdmissionDecision decision =
                    admission.admit(request("l", light, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            assertThat(decision)
                    .isInstanceOfSatisfying(
                            Admission.Wait.class,
                            wait -> assertThat(wait.displaced())
                                    .singleElement()
                                    .satisfies(lost -> assertThat(lost.placementRequest()
                                                    .request()
                                                    .name())
                                            .isEqualTo("h7")));
            assertThat(admission.admit(request("h8", heavy, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS))
                    .isInstanceOf(Admission.Refuse.class);
            assertThat(admission.waiting(POOL)).isEqualTo(8);
        }

        @Test
        void shouldRefuseARequestThatCannotMeetItsDeadlineAndRemoveAnAbandonedOne() {
            assertThat(admission.admit(request("r", heavy, NOW_MS + 1_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS))
                    .isInstanceOfSatisfying(Admission.Refuse.class, refuse -> {
                        assertThat(refuse.refusal().type()).isEqualTo(RefusalType.OVERLOADED);
                        assertThat(refuse.refusal().retryAtMs().orElseThrow()).isGreaterThan(NOW_MS);
                    });
            admission.admit(request("gone", heavy, NOW_MS + 60_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            assertThat(admission.cancel(new RequestId("gone"))).isTrue();
            assertThat(admission.waiting(POOL)).isZero();
        }

        @Test
        void shouldRefuseAQueuedRequestAfterItsDeadline() {
            admission.admit(request("r", heavy, NOW_MS + 5_000), BUSY_WAIT_MS, TARGET_MS, NOW_MS);
            Optional<Admission.Dequeued> next = admission.pollNext(POOL, w -> BUSY_WAIT_MS, TARGET_MS, NOW_MS + 5_001);
            assertThat(next.orElseThrow().decision()).isInstanceOf(Admission.Refuse.class);
        }

        private List<String> startOrder() {
            List<String> order = new ArrayList<>();
            Optional<Admission.Dequeued> next = admission.pollNext(POOL, w -> 0, TARGET_MS, NOW_MS);
            while (next.isPresent()) {
                order.add(next.get().placementRequest().request().name());
                next = admission.pollNext(POOL, w -> 0, TARGET_MS, NOW_MS);
            }
            return order;
        }
    }

    @Nested
    class Limits {
        private final InstanceId firstId = new InstanceId("i1");
        private final InstanceId secondId = new InstanceId("i2");
        private final Region region = new Region("r0");
        private final WorkspaceRateLimiter first = Admissions.limits();
        private final WorkspaceRateLimiter second = Admissions.limits();
        private final Workspace workspace = workspace("w", 100, 1, 0);

        @Test
        void shouldDivideTheLimitByDemandAndKeepItAcrossInstances() {
            Map<String, Integer> accepted = run(0, 10_000, true, 150, 50);
            assertThat(accepted.get("first") + accepted.get("second")).isBetween(900, 1_130);
            assertThat(accepted.get("first")).isGreaterThan(2 * accepted.get("second"));
        }

        @Test
        void shouldKeepTheLastShareDuringAPartition() {
            run(0, 5_000, true, 150, 50);
            run(5_000, 9_000, false, 150, 50);
            Map<String, Integer> accepted = run(9_000, 19_000, false, 150, 300);
            assertThat(accepted.get("first") + accepted.get("second")).isLessThanOrEqualTo(1_130);
            assertThat(second.share(workspace, NOW_MS + 19_000)).isLessThan(0.4);
        }

        @Test
        void shouldDivideABoundLimitAmongInstancesOfItsHomeRegionOnly() {
            first.setPeers(Map.of(secondId, new Region("elsewhere")));
            Workspace bound = new Workspace(new WorkspaceId("bound"), Optional.of(region), 100, 1, 0);

            assertThat(first.share(bound, NOW_MS)).isCloseTo(1, within(1e-9));
            assertThat(first.share(workspace, NOW_MS)).isCloseTo(0.5, within(1e-9));
        }

        @Test
        void shouldKeepStateForActiveWorkspacesOnly() {
            for (int i = 0; i < 15_000; i++) {
                first.tryAcquire(workspace("w" + i, 10, 1, 0), NOW_MS);
            }
            first.tryAcquire(workspace("late", 10, 1, 0), NOW_MS + 90_000);
            assertThat(first.expire(NOW_MS + 90_000)).isEqualTo(1);
        }

        private Map<String, Integer> run(long fromMs, long toMs, boolean connected, int perSecond1, int perSecond2) {
            first.setPeers(Map.of(secondId, region));
            second.setPeers(Map.of(firstId, region));
            Map<String, Integer> accepted = new HashMap<>(Map.of("first", 0, "second", 0));
            for (long atMs = NOW_MS + fromMs; atMs < NOW_MS + toMs; atMs += 2) {
                if (connected && atMs % 500 == 0) {
                    first.recordPeerDemand(secondId, second.demand(64, atMs), atMs);
                    second.recordPeerDemand(firstId, first.demand(64, atMs), atMs);
                }
                offer(accepted, "first", first, atMs, perSecond1);
                offer(accepted, "second", second, atMs, perSecond2);
            }
            return accepted;
        }

        private void offer(
                Map<String, Integer> accepted, String name, WorkspaceRateLimiter limits, long atMs, int perSecond) {
            long due = atMs * perSecond / 1_000 - (atMs - 2) * perSecond / 1_000;
            for (int i = 0; i < due; i++) {
                accepted.merge(name, limits.tryAcquire(workspace, atMs).isEmpty() ? 1 : 0, Integer::sum);
            }
        }
    }

    @Nested
    class Retries {
        @Test
        void shouldLimitRetriesToAFractionOfTheRequests() {
            RetryBudget budget = RetryBudget.of(0.1, 10);
            int retries = 0;
            for (int i = 0; i < 1_000; i++) {
                budget.recordCall();
                retries += budget.tryAcquire() ? 1 : 0;
            }
            assertThat(retries).isBetween(100, 110);
        }
    }
}
