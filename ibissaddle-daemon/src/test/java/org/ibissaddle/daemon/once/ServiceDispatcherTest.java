package org.ibissaddle.daemon.once;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.random.RandomGenerator;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.path.RetryBudgets;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.timeline.EventSource;
import org.junit.jupiter.api.Test;

class ServiceDispatcherTest {
    private static final int CALLS = 2_000;
    private static final int MAX_SAVED_RETRIES = 256;
    private static final long LONG_RUN_MS = 60_000;
    private static final double RETRY_RATIO = 0.2;
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final Zone ZONE = new Zone("north-1");
    private static final PoolId LEDGER = new PoolId("ledger");
    private static final Workspace WORKSPACE = new Workspace(new WorkspaceId("w"), Optional.empty(), 100, 1, 0);
    private static final Address UNUSED = new Address("127.0.0.1", 1);

    private final InstanceView self =
            new InstanceView(new InstanceId("i1"), Optional.empty(), NORTH, ZONE, UNUSED, UNUSED, Health.LIVE, 0, 0);
    private final AtomicLong budgetClockMs = new AtomicLong();
    private final SharedState state = state();
    private final UnreachableServers policy = new UnreachableServers();
    private final ServiceDispatcher dispatcher =
            new ServiceDispatcher(settings(), state, policy, new RetryBudgets(state, budgetClockMs::get), () -> 0);

    /** Guards against a budget that grows at each instance that a request passes. */
    @Test
    void shouldNotAddToTheBudgetForRequestsThatAnotherInstanceHasForwarded() {
        int retries = retriesOf(CALLS, List.of(SOUTH));

        assertThat(retries).isLessThanOrEqualTo(MAX_SAVED_RETRIES);
    }

    @Test
    void shouldLimitTheRetriesOfRequestsThatReachNoServer() {
        int retries = retriesOf(CALLS, List.of());

        assertThat(retries).isBetween(CALLS / 10, (int) (CALLS * RETRY_RATIO) + MAX_SAVED_RETRIES);
    }

    private int retriesOf(int calls, List<Region> forwardedBy) {
        budgetClockMs.addAndGet(LONG_RUN_MS);
        for (int i = 0; i < calls; i++) {
            RequestHead head = new RequestHead("GET", "/stock/7", "", new DefaultHttpHeaders());
            CallerRequest request = new CallerRequest(head, new byte[0], 0);
            dispatcher.dispatchRetryable(new ServiceCall(request, WORKSPACE, LEDGER, "k" + i, 1_000, forwardedBy));
        }
        return policy.placed.get() - calls;
    }

    private SharedState state() {
        EventSource source = new EventSource(self.id(), new Incarnation(1, 1), NORTH, ZONE);
        SharedState created =
                new SharedState(new FleetView(self, List.of(), List.of(), 0), new TimelineRecorder(source, () -> 0));
        created.activateNote(new ReleaseNote(
                1,
                "d",
                List.of(NORTH, SOUTH),
                new TreeMap<>(Map.of(ZONE, NORTH)),
                new TreeMap<>(Map.of(LEDGER, new Pool(LEDGER, PoolKind.SERVICE, Set.of(), true, 1))),
                new TreeMap<>(Map.of(WORKSPACE.id(), WORKSPACE)),
                List.of(),
                List.of(),
                new SpillRules(true, 0.5, 0.8, 0.4, 0.1, 0.3),
                new ObjectiveWeights(0.1, 0.8, 0.1, 660, false)));
        return created;
    }

    private Settings settings() {
        return new Settings(
                self.id(),
                NORTH,
                ZONE,
                new Address("127.0.0.1", 0),
                UNUSED,
                List.of(),
                List.of(),
                DeploymentKey.of(new byte[DeploymentKey.MIN_SECRET_BYTES]),
                new Settings.Limits(1, 1, 1),
                Level.WARNING);
    }

    /** Places each attempt on another server, none of which accepts connections. */
    private static final class UnreachableServers implements PlacementPolicy {
        private final AtomicInteger placed = new AtomicInteger();

        @Override
        public Placement place(
                PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
            if (request.excludedServers().size() > 2) {
                return new Placement.Refuse(Refusal.of(RefusalType.NO_SERVER, "none left", ExecutionStatus.NOT_RUN));
            }
            return new Placement.Serve(server("s" + placed.getAndIncrement()));
        }

        private static ServerView server(String name) {
            return new ServerView(
                    new ServerId(name),
                    Optional.empty(),
                    LEDGER,
                    NORTH,
                    ZONE,
                    UNUSED,
                    Health.LIVE,
                    Set.of(),
                    ServerLoad.NONE);
        }

        @Override
        public DispatchHandle recordDispatch(PlacementRequest request, Placement placement, long nowMs) {
            return new DispatchHandle() {
                @Override
                public void firstToken(long nowMs) {}

                @Override
                public void generated(int tokens) {}

                @Override
                public void completed(boolean succeeded, long nowMs) {}
            };
        }
    }
}
