package org.ibissaddle.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.placement.PlacementRequest;

class AdmissionPropertiesTest {
    private static final PoolId POOL = new PoolId("p");
    private static final long NOW_MS = 5_000_000;
    private static final double TARGET_MS = 660;

    private static PlacementRequest request(
            String id, String workspace, double weight, int prompt, int tokens, long deadlineMs) {
        Workspace owner = new Workspace(new WorkspaceId(workspace), Optional.empty(), 1_000, weight, 0);
        return new PlacementRequest(
                new RequestId(id),
                owner,
                POOL,
                Optional.empty(),
                0,
                deadlineMs,
                prompt,
                tokens,
                List.of(),
                Set.of(),
                List.of());
    }

    private static double cost(PlacementRequest request) {
        return request.promptTokens() / 8.0 + request.maxTokens();
    }

    @Property(seed = "21", tries = 200)
    void shouldShareByWeightWithinOneRequestPerWorkspace(
            @ForAll @IntRange(min = 1, max = 5) int weightA,
            @ForAll @IntRange(min = 1, max = 5) int weightB,
            @ForAll long seed) {
        Admission admission = Admissions.fair(600, 1);
        Random random = new Random(seed);
        for (int i = 0; i < 250; i++) {
            admit(admission, "a", i, weightA, random);
            admit(admission, "b", i, weightB, random);
        }
        Map<String, Double> served = new HashMap<>(Map.of("a", 0.0, "b", 0.0));
        double bound = (400 / 8.0 + 50) / weightA + (400 / 8.0 + 50) / weightB;
        for (int i = 0; i < 150; i++) {
            PlacementRequest next = admission
                    .pollNext(POOL, w -> 0, TARGET_MS, NOW_MS)
                    .orElseThrow()
                    .placementRequest();
            served.merge(next.workspace().id().name(), cost(next), Double::sum);
            double difference = Math.abs(served.get("a") / weightA - served.get("b") / weightB);
            assertThat(difference).isLessThanOrEqualTo(bound + 0.01);
        }
    }

    private static void admit(Admission admission, String workspace, int i, int weight, Random random) {
        int prompt = 1 + random.nextInt(400);
        int tokens = 1 + random.nextInt(50);
        PlacementRequest request = request(workspace + i, workspace, weight, prompt, tokens, NOW_MS + 1_000_000);
        assertThat(admission.admit(request, 10_000, TARGET_MS, NOW_MS)).isInstanceOf(Admission.Wait.class);
    }

    /**
     * Guards against an overload that sustains itself through retries after the surge has ended. One server takes 100
     * ms per request; refused callers retry at the time given in the refusal, within a retry budget.
     */
    @Example
    void shouldRecoverFromOverloadAfterTheSurge() {
        Admission admission = Admissions.fair(64, 1);
        RetryBudget retryBudget = RetryBudget.of(0.1, 10);
        PriorityQueue<Long> retryTimes = new PriorityQueue<>();
        Deque<Long> completionTimes = new ArrayDeque<>();
        int refusedAfterRecovery = 0;
        int startedDuringSurge = 0;
        for (int ms = 0; ms < 40_000; ms++) {
            long nowMs = NOW_MS + ms;
            boolean surge = ms < 15_000;
            while (!completionTimes.isEmpty() && completionTimes.peek() <= nowMs) {
                completionTimes.poll();
            }
            boolean newRequest = ms % (surge ? 30 : 125) == 0;
            boolean retried = !retryTimes.isEmpty() && retryTimes.peek() <= nowMs && retryTimes.poll() > 0;
            if (newRequest) {
                retryBudget.recordCall();
            }
            if (newRequest || retried) {
                PlacementRequest request = request("r" + ms, "w" + ms % 7, 1, 80, 10, nowMs + 3_000);
                Admission.AdmissionDecision decision =
                        admission.admit(request, waitMs(completionTimes, nowMs), TARGET_MS, nowMs);
                startedDuringSurge += surge && serve(decision, completionTimes, nowMs) ? 1 : 0;
                if (!surge) {
                    serve(decision, completionTimes, nowMs);
                }
                if (decision instanceof Admission.Refuse refuse) {
                    refusedAfterRecovery += ms > 20_000 ? 1 : 0;
                    if (retryBudget.tryAcquire()) {
                        retryTimes.add(refuse.refusal().retryAtMs().orElseThrow());
                    }
                }
            }
            Optional<Admission.Dequeued> next =
                    admission.pollNext(POOL, w -> waitMs(completionTimes, nowMs), TARGET_MS, nowMs);
            boolean started = next.isPresent() && serve(next.get().decision(), completionTimes, nowMs);
            startedDuringSurge += surge && started ? 1 : 0;
        }
        assertThat(startedDuringSurge).isGreaterThan(130);
        assertThat(refusedAfterRecovery).isZero();
        assertThat(admission.waiting(POOL)).isLessThanOrEqualTo(1);
        assertThat(retryTimes).isEmpty();
    }

    private static boolean serve(Admission.AdmissionDecision decision, Deque<Long> completionTimes, long nowMs) {
        boolean started = decision instanceof Admission.Start;
        if (started) {
            completionTimes.add(Math.max(nowMs, completionTimes.isEmpty() ? 0 : completionTimes.peekLast()) + 100);
        }
        return started;
    }

    private static double waitMs(Deque<Long> completionTimes, long nowMs) {
        return completionTimes.isEmpty() ? 0 : Math.max(0, completionTimes.peekLast() - nowMs);
    }
}
