package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.peer.KnownPeers;
import org.ibissaddle.peer.PeerTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Many instances that share the retry budget of one service. */
class SharedRetryBudgetTest {
    private static final Region NORTH = new Region("north");
    private static final Zone ZONE = new Zone("north-a");
    private static final double RATIO = 0.2;
    private static final double SLACK = 210;
    private static final long WINDOW_MS = 10_000;
    private static final int INSTANCES = 35;
    private static final int FEW_INSTANCES = 4;
    private static final long DURATION_MS = 2 * WINDOW_MS;
    private static final long STEP_MS = 10;

    // Each instance that had just started took a quarter of the slack, because it knew too few others.
    @ParameterizedTest
    @CsvSource({"0, 500", "0, 50", "1000, 500", "1000, 50", "2900, 500", "2900, 50", "30000, 500", "30000, 50"})
    void shouldStayWithinTheBudgetAfterAllInstancesRestart(long peersKnownMs, long requestIntervalMs) {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance(i));
        }
        int requests = 0;
        int retries = 0;
        for (long nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
            if (nowMs == peersKnownMs) {
                instances.forEach(instance -> instance.learn(instances));
            }
            if (nowMs < WINDOW_MS && nowMs % requestIntervalMs == 0) {
                for (Instance instance : instances) {
                    requests++;
                    retries += instance.failAndRetry(nowMs) ? 1 : 0;
                }
            }
        }

        assertThat(retries).isBetween(1, (int) (RATIO * requests + SLACK));
    }

    // Each restarted instance began with a retry of its own, although the earlier ones count in the same window.
    @Test
    void shouldStayWithinTheBudgetWhenInstancesRestartInTurn() {
        double slack = 54;
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < FEW_INSTANCES; i++) {
            budgets.add(newBudget(slack, 0));
        }
        int requests = 0;
        int retries = 0;
        for (long nowMs = WINDOW_MS; nowMs < 2 * WINDOW_MS; nowMs += 200) {
            int restarted = requests++ % FEW_INSTANCES;
            retries += retriesOfRejectedRequest(budgets.get(restarted), nowMs);
            budgets.set(restarted, newBudget(slack, nowMs));
        }

        assertThat(retries).isBetween(1, (int) (RATIO * requests + slack));
    }

    // Links that had been silent, and servers that had stood still, got the retries of two windows in one.
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000})
    void shouldStayWithinTheBudgetWhenRetriesArriveLate(int requestIntervalMs) {
        double slack = 54;
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < FEW_INSTANCES; i++) {
            budgets.add(newBudget(slack, 0));
        }
        int requests = 0;
        int retries = 0;
        for (long nowMs = WINDOW_MS; nowMs < 3 * WINDOW_MS; nowMs += requestIntervalMs) {
            for (SharedRetryBudget budget : budgets) {
                requests++;
                retries += retriesOfRejectedRequest(budget, nowMs);
            }
        }

        int requestsInWindow = requests / 2;
        assertThat(retries).isBetween(1, (int) (RATIO * requestsInWindow + slack));
    }

    // An instance that had started in a region cut off from the others took the portion of a small deployment.
    @Test
    void shouldStayWithinTheBudgetWhenRestartedInstancesKnowFewOthers() {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new Instance(i));
        }
        Instance running = instances.get(0);
        running.learn(instances);
        instances.forEach(instance -> instance.learn(List.of(running)));
        int requests = 0;
        int retries = 0;
        for (long nowMs = WINDOW_MS; nowMs < 2 * WINDOW_MS; nowMs += 500) {
            for (Instance instance : instances) {
                requests++;
                retries += instance.failAndRetry(nowMs) ? 1 : 0;
            }
        }

        assertThat(retries).isBetween(1, (int) (RATIO * requests + SLACK));
    }

    private static SharedRetryBudget newBudget(double slack, long nowMs) {
        return new SharedRetryBudget(RATIO, slack, WINDOW_MS, nowMs);
    }

    /** Records a request that servers reject as often as it may be retried, and returns the number of retries. */
    private static int retriesOfRejectedRequest(SharedRetryBudget budget, long nowMs) {
        OptionalInt instances = OptionalInt.of(FEW_INSTANCES);
        budget.recordRequest(instances);
        int retries = 0;
        while (budget.tryAcquire(instances, nowMs)) {
            retries++;
        }
        return retries;
    }

    private static final class Instance {
        private final InstanceId id;
        private final PeerTable peers;
        private final SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, WINDOW_MS, 0);

        Instance(int number) {
            id = new InstanceId("north-" + number);
            peers = new PeerTable(id, NORTH, true, 0);
        }

        void learn(List<Instance> others) {
            others.forEach(other -> KnownPeers.add(peers, other.id, NORTH, ZONE, other.peers.knownInstances(), 0));
        }

        /** Records a request whose first attempt fails, and returns whether it is retried. */
        boolean failAndRetry(long nowMs) {
            budget.recordRequest(peers.deploymentSize(nowMs));
            return budget.tryAcquire(peers.deploymentSize(nowMs), nowMs);
        }
    }
}
