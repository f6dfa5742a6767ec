package org.ibissaddle.daemon.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.dispatch.RetryBudget;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.timeline.EventSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryBudgetsTest {
    private static final int MAX_SAVED_RETRIES = 256;
    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    // The accumulated retries of each instance once added up over all instances.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 35})
    void shouldLimitTheAccumulatedRetriesOfAPoolForAnyNumberOfInstances(int count) {
        List<InstanceView> instances = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            instances.add(instance("i" + i));
        }
        int retries = 0;
        for (InstanceView instance : instances) {
            RetryBudget budget = new RetryBudgets(stateOf(instance, instances)).of(new PoolId("inspection"));
            while (budget.tryAcquire()) {
                retries++;
            }
        }

        assertThat(retries).isBetween(MAX_SAVED_RETRIES / 2, MAX_SAVED_RETRIES);
    }

    private static SharedState stateOf(InstanceView self, List<InstanceView> instances) {
        List<InstanceView> peers = new ArrayList<>(instances);
        peers.remove(self);
        EventSource source = new EventSource(self.id(), new Incarnation(1, 1), self.region(), self.zone());
        return new SharedState(
                new FleetView(self, peers, List.of(), 0), new TimelineRecorder(source, System::currentTimeMillis));
    }

    private static InstanceView instance(String name) {
        return new InstanceView(
                new InstanceId(name),
                Optional.empty(),
                new Region("north"),
                new Zone("north-1"),
                ADDRESS,
                ADDRESS,
                Health.LIVE,
                0,
                0);
    }
}
