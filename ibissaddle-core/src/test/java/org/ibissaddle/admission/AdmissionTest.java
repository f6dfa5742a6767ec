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
import org.ibissaddle.placement.Work;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final long NOW = 5_000_000;
    private static final double TARGET = 660;
    private static final double BUSY = 2_000;
    private static final PoolId POOL = new PoolId("p");

    private static Workspace workspace(String name, double perSecond, double weight, int priority) {
        return new Workspace(new WorkspaceId(name), Optional.empty(), perSecond, weight, priority);
    }

    private static Work work(String id, Workspace workspace, long deadlineMs) {
        return new Work(
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
        void shouldStartAtOnceWhileThePoolIsFree() {
            assertThat(admission.arrive(work("r", heavy, NOW + 9_000), 10, TARGET, NOW))
                    .isInstanceOf(Admission.Start.class);
        }

        @Test
        void shouldLetALightWorkspacePassAHeavyOne() {
            for (int i = 0; i < 6; i++) {
                admission.arrive(work("h" + i, heavy, NOW + 60_000), BUSY, TARGET, NOW);
            }
            admission.arrive(work("l", light, NOW + 60_000), BUSY, TARGET, NOW);
            List<String> order = drain();
            assertThat(order.indexOf("l")).isLessThanOrEqualTo(1);
        }

        @Test
        void shouldServeTheHigherPriorityOfAWorkspaceFirst() {
            admission.arrive(work("low", heavy, NOW + 60_000), BUSY, TARGET, NOW);
            Workspace urgent = workspace("heavy", 100, 1, 9);
            admission.arrive(work("high", urgent, NOW + 60_000), BUSY, TARGET, NOW);
            assertThat(drain()).containsExactly("high", "low");
        }

        @Test
        void shouldDisplaceTheLastOneFromAFullQueueAndRefuseItAsNotRun() {
            for (int i = 0; i < 8; i++) {
                admission.arrive(work("h" + i, heavy, NOW + 60_000), BUSY, TARGET, NOW);
            }
            Admission.Verdict verdict = admission.arrive(work("l", light, NOW + 60_000), BUSY, TARGET, NOW);
            assertThat(verdict)
                    .isInstanceOfSatisfying(
                            Admission.Wait.class,
                            wait -> assertThat(wait.displaced())
                                    .singleElement()
                                    .satisfies(lost -> assertThat(
                                                    lost.work().request().name())
                                            .isEqualTo("h7")));
            assertThat(admission.arrive(work("h8", heavy, NOW + 60_000), BUSY, TARGET, NOW))
                    .isInstanceOf(Admission.Refuse.class);
            assertThat(admission.waiting(POOL)).isEqualTo(8);
        }

        @Test
        void shouldRefuseWhatCannotMeetItsDeadlineAndForgetWhatIsAbandoned() {
            assertThat(admission.arrive(work("r", heavy, NOW + 1_000), BUSY, TARGET, NOW))
                    .isInstanceOfSatisfying(Admission.Refuse.class, refuse -> {
                        assertThat(refuse.refusal().type()).isEqualTo(RefusalType.OVERLOADED);
                        assertThat(refuse.refusal().retryAtMs().orElseThrow()).isGreaterThan(NOW);
                    });
            admission.arrive(work("gone", heavy, NOW + 60_000), BUSY, TARGET, NOW);
            assertThat(admission.abandon(new RequestId("gone"))).isTrue();
            assertThat(admission.waiting(POOL)).isZero();
        }

        @Test
        void shouldRefuseWaitingWorkWhoseDeadlineHasPassed() {
            admission.arrive(work("r", heavy, NOW + 5_000), BUSY, TARGET, NOW);
            Optional<Admission.Released> next = admission.next(POOL, w -> BUSY, TARGET, NOW + 5_001);
            assertThat(next.orElseThrow().verdict()).isInstanceOf(Admission.Refuse.class);
        }

        private List<String> drain() {
            List<String> order = new ArrayList<>();
            Optional<Admission.Released> next = admission.next(POOL, w -> 0, TARGET, NOW);
            while (next.isPresent()) {
                order.add(next.get().work().request().name());
                next = admission.next(POOL, w -> 0, TARGET, NOW);
            }
            return order;
        }
    }

    @Nested
    class Limits {
        private final InstanceId one = new InstanceId("i1");
        private final InstanceId two = new InstanceId("i2");
        private final Region region = new Region("r0");
        private final WorkspaceLimits first = Admissions.limits();
        private final WorkspaceLimits second = Admissions.limits();
        private final Workspace workspace = workspace("w", 100, 1, 0);

        @Test
        void shouldFollowTheDemandAndStayWithinTheLimitTogether() {
            Map<String, Integer> taken = run(0, 10_000, true, 150, 50);
            assertThat(taken.get("first") + taken.get("second")).isBetween(900, 1_130);
            assertThat(taken.get("first")).isGreaterThan(2 * taken.get("second"));
        }

        @Test
        void shouldKeepToTheShareWhenCutOff() {
            run(0, 5_000, true, 150, 50);
            run(5_000, 9_000, false, 150, 50);
            Map<String, Integer> taken = run(9_000, 19_000, false, 150, 300);
            assertThat(taken.get("first") + taken.get("second")).isLessThanOrEqualTo(1_130);
            assertThat(second.share(workspace, NOW + 19_000)).isLessThan(0.4);
        }

        @Test
        void shouldSplitABoundLimitAmongInstancesOfItsHomeOnly() {
            first.peers(Map.of(two, new Region("elsewhere")));
            Workspace bound = new Workspace(new WorkspaceId("bound"), Optional.of(region), 100, 1, 0);

            assertThat(first.share(bound, NOW)).isCloseTo(1, within(1e-9));
            assertThat(first.share(workspace, NOW)).isCloseTo(0.5, within(1e-9));
        }

        @Test
        void shouldKeepStateForActiveWorkspacesOnly() {
            for (int i = 0; i < 15_000; i++) {
                first.tryAcquire(workspace("w" + i, 10, 1, 0), NOW);
            }
            first.tryAcquire(workspace("late", 10, 1, 0), NOW + 90_000);
            assertThat(first.expire(NOW + 90_000)).isEqualTo(1);
        }

        private Map<String, Integer> run(long fromMs, long toMs, boolean joined, int perSecond1, int perSecond2) {
            first.peers(Map.of(two, region));
            second.peers(Map.of(one, region));
            Map<String, Integer> taken = new HashMap<>(Map.of("first", 0, "second", 0));
            for (long t = NOW + fromMs; t < NOW + toMs; t += 2) {
                if (joined && t % 500 == 0) {
                    first.peerDemand(two, second.demand(64, t), t);
                    second.peerDemand(one, first.demand(64, t), t);
                }
                count(taken, "first", first, t, perSecond1);
                count(taken, "second", second, t, perSecond2);
            }
            return taken;
        }

        private void count(Map<String, Integer> taken, String name, WorkspaceLimits limits, long t, int perSecond) {
            long due = t * perSecond / 1_000 - (t - 2) * perSecond / 1_000;
            for (int i = 0; i < due; i++) {
                taken.merge(name, limits.tryAcquire(workspace, t).isEmpty() ? 1 : 0, Integer::sum);
            }
        }
    }

    @Nested
    class Retries {
        @Test
        void shouldBoundRetriesToAShareOfTheRequests() {
            RetryBudget budget = RetryBudget.of(0.1, 10);
            int retries = 0;
            for (int i = 0; i < 1_000; i++) {
                budget.called();
                retries += budget.take() ? 1 : 0;
            }
            assertThat(retries).isBetween(100, 110);
        }
    }
}
