package org.ibissaddle.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightedPolicyTest {
    private static final long NOW = Fleets.NOW;
    private static final List<Long> CHAIN = List.of(11L, 12L, 13L, 14L);

    private final WeightedPolicy policy = PlacementPolicies.weighted(PlacementTuning.defaults());
    private final ReleaseNote note = Fleets.note(Fleets.UNBOUND, Fleets.BOUND);
    private final Random random = new Random(7);

    private ServerId placedOn(PlacementRequest request, FleetView fleet, long nowMs) {
        Placement placement = policy.place(request, note, fleet, nowMs, random);
        assertThat(placement).isInstanceOf(Placement.Serve.class);
        return ((Placement.Serve) placement).server().id();
    }

    private PlacementPolicy.DispatchHandle start(PlacementRequest request, FleetView fleet, String server, long nowMs) {
        ServerView view = fleet.servers().stream()
                .filter(s -> s.id().name().equals(server))
                .findFirst()
                .orElseThrow();
        return policy.recordDispatch(request, new Placement.Serve(view), nowMs);
    }

    private Refusal refusal(PlacementRequest request, FleetView fleet) {
        Placement placement = policy.place(request, note, fleet, NOW, random);
        assertThat(placement).isInstanceOf(Placement.Refuse.class);
        Refusal refusal = ((Placement.Refuse) placement).refusal();
        assertThat(refusal.executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
        return refusal;
    }

    private static FleetView inA(ServerView... servers) {
        return Fleets.fleet(Fleets.A, 0, List.of(), List.of(servers));
    }

    @Nested
    class ServerSelection {
        @Test
        void shouldPreferTheServerThatHoldsThePrefix() {
            FleetView fleet =
                    Fleets.fleet(Fleets.A, 0, List.of(), Fleets.servers(Fleets.A, 3, Fleets.load(NOW, 0, 0, 0, 0)));
            start(Fleets.request("r0", Fleets.UNBOUND, 4_000, CHAIN, List.of()), fleet, "a-s2", NOW)
                    .completed(true, NOW);
            for (int i = 0; i < 20; i++) {
                PlacementRequest request = Fleets.request("r" + i, Fleets.UNBOUND, 4_000, CHAIN, List.of());
                assertThat(placedOn(request, fleet, NOW)).isEqualTo(new ServerId("a-s2"));
            }
        }

        @Test
        void shouldAvoidThePrefixHolderWhenItIsMuchBusier() {
            FleetView idle = inA(
                    Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)),
                    Fleets.server(Fleets.A, "a-s1", Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)));
            start(Fleets.request("r0", Fleets.UNBOUND, 800, CHAIN, List.of()), idle, "a-s0", NOW)
                    .completed(true, NOW);
            start(Fleets.request("r1", Fleets.UNBOUND, 40_000, List.of(), List.of()), idle, "a-s0", NOW);
            PlacementRequest request = Fleets.request("r2", Fleets.UNBOUND, 800, CHAIN, List.of());
            assertThat(placedOn(request, idle, NOW)).isEqualTo(new ServerId("a-s1"));
        }

        @Test
        void shouldForgetThePrefixesOfAnEarlierIncarnation() {
            FleetView before = inA(
                    Fleets.server(Fleets.A, "a-s0", 1, Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)),
                    Fleets.server(Fleets.A, "a-s1", 1, Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)));
            PlacementRequest request = Fleets.request("r0", Fleets.UNBOUND, 8_000, CHAIN, List.of());
            start(request, before, "a-s0", NOW).completed(true, NOW);
            double warm = policy.predictedWaitMs(request, note, before, NOW);
            FleetView after = inA(
                    Fleets.server(Fleets.A, "a-s0", 2, Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)),
                    Fleets.server(Fleets.A, "a-s1", 1, Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)));
            assertThat(warm).isZero();
            assertThat(policy.predictedWaitMs(request, note, after, NOW)).isGreaterThan(500);
        }

        @Test
        void shouldLowerCacheConfidenceAfterGapsAndRaiseItAfterEvents() {
            FleetView fleet = inA(Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)));
            PlacementRequest request = Fleets.request("r0", Fleets.UNBOUND, 8_000, CHAIN, List.of());
            start(request, fleet, "a-s0", NOW).completed(true, NOW);
            policy.recordCacheEventLoss(new ServerId("a-s0"));
            double afterGap = policy.predictedWaitMs(request, note, fleet, NOW);
            for (int i = 0; i < 50; i++) {
                policy.recordCacheEvent(new ServerId("a-s0"), 11L, true, NOW);
            }
            assertThat(afterGap).isGreaterThan(policy.predictedWaitMs(request, note, fleet, NOW));
        }

        @Test
        void shouldNotCountOutstandingRequestsTwiceWhenTheReportIncludesThem() {
            FleetView first = inA(Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0)));
            PlacementRequest request = Fleets.request("r0", Fleets.UNBOUND, 8_000, List.of(), List.of());
            start(request, first, "a-s0", NOW + 100);
            double before = policy.predictedWaitMs(request, note, first, NOW + 500);
            FleetView second =
                    inA(Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW + 300, 1, 0, 8_000, 50)));
            assertThat(policy.predictedWaitMs(request, note, second, NOW + 500)).isEqualTo(before);
        }

        @Test
        void shouldAddOutstandingRequestsDispatchedAfterTheReport() {
            FleetView fleet = inA(
                    Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW - 2_000, 0, 0, 0, 0)),
                    Fleets.server(Fleets.A, "a-s1", Health.LIVE, Fleets.load(NOW - 2_000, 0, 0, 0, 0)));
            Map<ServerId, Integer> count = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                PlacementRequest request = Fleets.request("r" + i, Fleets.UNBOUND, 800, List.of(), List.of());
                ServerId id = placedOn(request, fleet, NOW);
                count.merge(id, 1, Integer::sum);
                start(request, fleet, id.name(), NOW);
            }
            assertThat(count.values()).allSatisfy(n -> assertThat(n).isBetween(8, 12));
        }

        @Test
        void shouldUseSuspectServersOnlyAsALastResortAndNeverTriedOnes() {
            FleetView fleet = inA(
                    Fleets.server(Fleets.A, "a-s0", Health.SUSPECT, Fleets.load(NOW, 0, 0, 0, 0)),
                    Fleets.server(Fleets.A, "a-s1", Health.LIVE, Fleets.load(NOW, 9, 5, 9_000, 900)),
                    Fleets.server(Fleets.A, "a-s2", Health.LEAVING, Fleets.load(NOW, 0, 0, 0, 0)));
            PlacementRequest request = Fleets.request("r", Fleets.UNBOUND);
            assertThat(placedOn(request, fleet, NOW)).isEqualTo(new ServerId("a-s1"));
            PlacementRequest again = request.excluding(new ServerId("a-s1"));
            assertThat(placedOn(again, fleet, NOW)).isEqualTo(new ServerId("a-s0"));
            assertThat(refusal(again.excluding(new ServerId("a-s0")), fleet).type())
                    .isEqualTo(RefusalType.NO_SERVER);
        }
    }

    @Nested
    class FailureHandling {
        @Test
        void shouldEjectFailingServersButNeverMoreThanAThird() {
            FleetView fleet =
                    Fleets.fleet(Fleets.A, 0, List.of(), Fleets.servers(Fleets.A, 6, Fleets.load(NOW, 0, 0, 0, 0)));
            policy.place(Fleets.request("r", Fleets.UNBOUND), note, fleet, NOW, random);
            for (int i = 0; i < 6; i++) {
                for (int n = 0; n < 5; n++) {
                    start(Fleets.request("f" + i + n, Fleets.UNBOUND), fleet, "a-s" + i, NOW)
                            .completed(false, NOW);
                }
            }
            assertThat(policy.forecast(Fleets.POOL, note, fleet, NOW).ejected()).isEqualTo(2);
            List<ServerId> used = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                used.add(placedOn(Fleets.request("g" + i, Fleets.UNBOUND), fleet, NOW));
            }
            assertThat(used)
                    .doesNotContain(new ServerId("a-s0"), new ServerId("a-s1"))
                    .hasSize(200);
            assertThat(policy.forecast(Fleets.POOL, note, fleet, NOW + 60_000).ejected())
                    .isZero();
        }

        @Test
        void shouldReduceLoadOfARestartedServerUntilItsHitRateRecovers() {
            ServerLoad warm = new ServerLoad(NOW, 0, 0, 0, 0, 1_000, 0.8);
            FleetView old = inA(
                    Fleets.server(Fleets.A, "a-s0", 1, Health.LIVE, warm),
                    Fleets.server(Fleets.A, "a-s1", 1, Health.LIVE, warm));
            for (int i = 0; i < 100; i++) {
                start(Fleets.request("w" + i, Fleets.UNBOUND), old, "a-s0", NOW).completed(true, NOW);
            }
            FleetView settled = inA(
                    Fleets.server(Fleets.A, "a-s0", 1, Health.LIVE, warm),
                    Fleets.server(Fleets.A, "a-s1", 1, Health.LIVE, warm));
            policy.place(Fleets.request("s", Fleets.UNBOUND), note, settled, NOW, random);
            double cold = spareCapacityWith(new ServerLoad(NOW, 0, 0, 0, 0, 1_000, 0.2), warm);
            double rewarmed = spareCapacityWith(new ServerLoad(NOW, 0, 0, 0, 0, 1_000, 0.75), warm);
            assertThat(cold).isLessThan(0.7 * rewarmed);
        }

        private double spareCapacityWith(ServerLoad returned, ServerLoad warm) {
            FleetView fleet = inA(
                    Fleets.server(Fleets.A, "a-s0", 1, Health.LIVE, warm),
                    Fleets.server(Fleets.A, "a-s1", 2, Health.LIVE, returned));
            return policy.forecast(Fleets.POOL, note, fleet, NOW).spareTokensPerSecond();
        }
    }

    @Nested
    class Overload {
        @Test
        void shouldRefuseEarlyWithARetryTimeWhenTheDeadlineCannotBeMet() {
            FleetView fleet =
                    inA(Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW, 16, 90, 900_000, 50_000)));
            Refusal refusal = refusal(Fleets.request("r", Fleets.BOUND), fleet);
            assertThat(refusal.type()).isEqualTo(RefusalType.OVERLOADED);
            assertThat(refusal.retryAtMs().orElseThrow()).isGreaterThan(NOW);
        }

        @Test
        void shouldDecayTheLatencyRatioWithoutObservations() {
            ServerView server = Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW, 0, 0, 0, 0));
            PlacementRequest request = Fleets.request("r", Fleets.UNBOUND);
            double usual = policy.predictedWaitMs(request, note, inA(server), NOW);
            for (int i = 0; i < 50; i++) {
                PlacementPolicy.DispatchHandle handle = start(request, inA(server), "a-s0", NOW);
                handle.firstToken(NOW + 2_000);
                handle.completed(true, NOW + 2_000);
            }
            assertThat(policy.predictedWaitMs(request, note, inA(server), NOW + 2_000))
                    .isGreaterThan(1.5 * usual);
            assertThat(policy.predictedWaitMs(request, note, inA(server), NOW + 30_000))
                    .isCloseTo(usual, within(1.0));
        }

        @Test
        void shouldForwardUnboundRequestsToAnIdleRegionAndNeverForwardBoundRequests() {
            InstanceView idle = Fleets.instance(Fleets.B, "b-i", Health.LIVE, 0.1, 2_000);
            FleetView fleet = Fleets.fleet(
                    Fleets.A,
                    2,
                    List.of(idle),
                    List.of(Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(NOW, 16, 9, 60_000, 5_000))));
            Set<Class<?>> free = new HashSet<>();
            for (int i = 0; i < 30; i++) {
                free.add(policy.place(Fleets.request("f" + i, Fleets.UNBOUND), note, fleet, NOW + i * 100L, random)
                        .getClass());
                assertThat(policy.place(Fleets.request("b" + i, Fleets.BOUND), note, fleet, NOW + i * 100L, random))
                        .isNotInstanceOf(Placement.Forward.class);
            }
            assertThat(free).contains(Placement.Forward.class);
        }
    }
}
