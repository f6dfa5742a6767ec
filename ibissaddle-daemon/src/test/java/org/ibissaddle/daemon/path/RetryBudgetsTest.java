package org.ibissaddle.daemon.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryBudgetsTest {
    private static final int MAX_SAVED_RETRIES = 256;
    private static final long WINDOW_MS = 10_000;
    private static final long LONG_RUN_MS = 60_000;
    private static final int RESTARTS = 8;
    private static final PoolId POOL = new PoolId("inspection");
    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    private final AtomicLong nowMs = new AtomicLong();

    // The accumulated retries of each instance once added up over all instances.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 35})
    void shouldLimitTheAccumulatedRetriesOfAPoolForAnyNumberOfInstances(int count) {
        List<RetryBudgets> running = startInstances(count);
        nowMs.addAndGet(LONG_RUN_MS);

        assertThat(retriesOf(running)).isBetween(MAX_SAVED_RETRIES / 2, MAX_SAVED_RETRIES);
    }

    /** Guards against instances that restart in series, each time with all the retries that they may accumulate. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 35})
    void shouldLimitTheRetriesInAWindowInWhichInstancesRestartAgainAndAgain(int count) {
        List<RetryBudgets> running = startInstances(count);
        nowMs.addAndGet(LONG_RUN_MS);
        int retries = retriesOf(running);
        for (int i = 0; i < RESTARTS; i++) {
            List<RetryBudgets> restarted = startInstances(count);
            nowMs.addAndGet(WINDOW_MS / RESTARTS);
            retries += retriesOf(restarted);
        }

        assertThat(retries).isBetween(MAX_SAVED_RETRIES / 2, MAX_SAVED_RETRIES);
    }

    /** Guards against instances that each take themselves for the only one until they know the others. */
    @ParameterizedTest
    @ValueSource(ints = {4, 35})
    void shouldLimitTheRetriesOfInstancesThatDoNotKnowEachOtherYet(int count) {
        List<RetryBudgets> restarted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            InstanceView self = instance("i" + i);
            restarted.add(new RetryBudgets(stateOf(self, List.of(self)), nowMs::get));
        }
        nowMs.addAndGet(WINDOW_MS / 4);

        assertThat(retriesOf(restarted)).isLessThanOrEqualTo(MAX_SAVED_RETRIES);
    }

    /** Guards against retries that become available at once when the others leave the view of an instance. */
    @Test
    void shouldLimitTheRetriesOfInstancesThatForgetEachOther() {
        List<InstanceView> instances = List.of(instance("a"), instance("b"), instance("c"), instance("d"));
        List<SharedState> states =
                instances.stream().map(instance -> stateOf(instance, instances)).toList();
        List<RetryBudgets> running = states.stream()
                .map(state -> new RetryBudgets(state, nowMs::get))
                .toList();
        nowMs.addAndGet(LONG_RUN_MS);
        int retries = retriesOf(running);
        states.forEach(
                state -> state.replaceFleet(new FleetView(state.fleet().self(), List.of(), List.of(), nowMs.get())));
        retries += retriesOf(running);

        assertThat(retries).isLessThanOrEqualTo(MAX_SAVED_RETRIES);
    }

    /** Guards against retries that an idle pool accumulates for a time in which the others were still known. */
    @Test
    void shouldLimitTheRetriesOfAnIdlePoolWhoseInstancesForgetEachOther() {
        List<InstanceView> instances = List.of(instance("a"), instance("b"), instance("c"), instance("d"));
        List<SharedState> states =
                instances.stream().map(instance -> stateOf(instance, instances)).toList();
        List<RetryBudgets> running = states.stream()
                .map(state -> new RetryBudgets(state, nowMs::get))
                .toList();
        running.forEach(budgets -> budgets.of(POOL).recordCall());
        nowMs.addAndGet(LONG_RUN_MS);
        states.forEach(
                state -> state.replaceFleet(new FleetView(state.fleet().self(), List.of(), List.of(), nowMs.get())));

        assertThat(retriesOf(running)).isLessThanOrEqualTo(MAX_SAVED_RETRIES);
    }

    /** Guards against an instance without retries after its clock was set back. */
    @Test
    void shouldKeepTheRetriesWhenTheClockIsSetBack() {
        nowMs.set(LONG_RUN_MS);
        List<RetryBudgets> running = startInstances(1);
        nowMs.addAndGet(LONG_RUN_MS);
        running.getFirst().of(POOL).tryAcquire();
        nowMs.set(0);

        assertThat(running.getFirst().of(POOL).tryAcquire()).isTrue();
    }

    /** Guards against calls that add no retries to an instance that has just started. */
    @Test
    void shouldAllowTheRetriesThatCallsAddFromTheStart() {
        List<RetryBudgets> started = startInstances(35);
        for (int i = 0; i < 100; i++) {
            started.getFirst().of(POOL).recordCall();
        }
        nowMs.addAndGet(1_000);

        assertThat(started.getFirst().of(POOL).tryAcquire()).isTrue();
    }

    private List<RetryBudgets> startInstances(int count) {
        List<InstanceView> instances = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            instances.add(instance("i" + i));
        }
        return instances.stream()
                .map(instance -> new RetryBudgets(stateOf(instance, instances), nowMs::get))
                .toList();
    }

    private static int retriesOf(List<RetryBudgets> instances) {
        int retries = 0;
        for (RetryBudgets budgets : instances) {
            while (budgets.of(POOL).tryAcquire()) {
                retries++;
            }
        }
        return retries;
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
