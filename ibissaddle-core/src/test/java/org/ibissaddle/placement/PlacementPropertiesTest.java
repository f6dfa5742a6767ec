package org.ibissaddle.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;

class PlacementPropertiesTest {
    private static final long NOW = Fleets.NOW;
    private static final long DIRECTION_HOLD_MS = 5_000;

    private static Workspace workspace(int home) {
        Optional<Region> region = home == 0 ? Optional.empty() : Optional.of(home == 1 ? Fleets.A : Fleets.B);
        return new Workspace(Fleets.UNBOUND.id(), region, 100, 1, 0);
    }

    private static ReleaseNote note(int home) {
        return home == 3 ? Fleets.note() : Fleets.note(workspace(home));
    }

    private static FleetView view(Region here, double ownQueue, double peerLoad, long atMs) {
        Region there = here.equals(Fleets.A) ? Fleets.B : Fleets.A;
        InstanceView peer = Fleets.instance(there, there + "-i", Health.LIVE, peerLoad, 5_000);
        ServerLoad load = Fleets.load(atMs, 16, 4, Math.round(ownQueue * 20_000), 2_000);
        return Fleets.fleet(
                here, ownQueue, List.of(peer), List.of(Fleets.server(here, here + "-s", Health.LIVE, load)));
    }

    @Property(seed = "11", tries = 2_000)
    void shouldServeBoundRequestsOnlyInTheirHomeRegionForAnyPairOfNotes(
            @ForAll @IntRange(max = 3) int senderNote,
            @ForAll @IntRange(max = 3) int receiverNote,
            @ForAll @IntRange(max = 3) int requestedHome,
            @ForAll @DoubleRange(max = 5) double queue,
            @ForAll @DoubleRange(max = 2) double peerLoad) {
        PlacementRequest request = Fleets.request("r", workspace(requestedHome % 3));
        WeightedPolicy sender = PlacementPolicies.weighted(PlacementTuning.defaults());
        WeightedPolicy receiver = PlacementPolicies.weighted(PlacementTuning.defaults());
        FleetView here = view(Fleets.A, queue, peerLoad, NOW);
        Placement first = sender.place(request, note(senderNote), here, NOW, new Random(1));
        if (first instanceof Placement.Serve) {
            assertThat(senderNote).isIn(0, 1);
        }
        if (first instanceof Placement.Forward) {
            assertThat(senderNote).isZero();
            PlacementRequest sent = Fleets.request("r", request.workspace(), 800, List.of(), List.of(Fleets.A));
            FleetView there = view(Fleets.B, 0, 0, NOW);
            Placement second = receiver.place(sent, note(receiverNote), there, NOW, new Random(2));
            assertThat(second).isNotInstanceOf(Placement.Forward.class);
            assertThat(second instanceof Placement.Serve).isEqualTo(receiverNote == 0);
        }
    }

    @Property(seed = "12", tries = 300)
    void shouldNeverForwardRequestsInBothDirectionsForAnyPairOfStaleViews(
            @ForAll @Size(min = 20, max = 60) List<@IntRange(max = 399) Integer> steps, @ForAll long seed) {
        Random random = new Random(seed);
        ReleaseNote note = note(0);
        Map<Region, WeightedPolicy> policies = Map.of(
                Fleets.A,
                PlacementPolicies.weighted(PlacementTuning.defaults()),
                Fleets.B,
                PlacementPolicies.weighted(PlacementTuning.defaults()));
        Map<Region, Long> lastServedFrom = new HashMap<>();
        long now = NOW;
        for (int step : steps) {
            now += step % 100 * 10L;
            Region here = step < 200 ? Fleets.A : Fleets.B;
            Region there = step < 200 ? Fleets.B : Fleets.A;
            FleetView stale = view(here, random.nextDouble() * 4, random.nextDouble() * 0.5, now - 2_000);
            Placement decision = policies.get(here)
                    .place(requestWithLongDeadline("s" + step, now, List.of()), note, stale, now, random);
            if (!(decision instanceof Placement.Forward)) {
                continue;
            }
            FleetView idleView = view(there, 0, 0, now - 2_000);
            long arrived = now + 30;
            Placement received = policies.get(there)
                    .place(requestWithLongDeadline("s" + step, now, List.of(here)), note, idleView, arrived, random);
            assertThat(received).isNotInstanceOf(Placement.Forward.class);
            if (received instanceof Placement.Serve) {
                assertThat(arrived - lastServedFrom.getOrDefault(there, 0L)).isGreaterThanOrEqualTo(DIRECTION_HOLD_MS);
                lastServedFrom.put(here, arrived);
            }
        }
    }

    private static PlacementRequest requestWithLongDeadline(String id, long now, List<Region> visited) {
        PlacementRequest request = Fleets.request(id, workspace(0), 800, List.of(), visited);
        return new PlacementRequest(
                request.request(),
                request.workspace(),
                request.pool(),
                request.model(),
                0,
                now + 60_000,
                800,
                100,
                List.of(),
                request.excludedServers(),
                visited);
    }

    @Property(seed = "13", tries = 200)
    void shouldNeverEjectMoreThanTheMaximumShare(
            @ForAll @IntRange(min = 1, max = 12) int servers,
            @ForAll @Size(200) List<@IntRange(max = 99) Integer> outcomes) {
        WeightedPolicy policy = PlacementPolicies.weighted(PlacementTuning.defaults());
        ReleaseNote note = note(0);
        FleetView fleet =
                Fleets.fleet(Fleets.A, 0, List.of(), Fleets.servers(Fleets.A, servers, Fleets.load(NOW, 0, 0, 0, 0)));
        policy.place(Fleets.request("r", workspace(0)), note, fleet, NOW, new Random(3));
        long now = NOW;
        for (int outcome : outcomes) {
            ServerView server = fleet.servers().get(outcome % servers);
            policy.recordDispatch(Fleets.request("r", workspace(0)), new Placement.Serve(server), now)
                    .completed(outcome > 80, now);
            now += outcome;
            int ejected = policy.forecast(Fleets.POOL, note, fleet, now).ejected();
            assertThat(ejected).isLessThanOrEqualTo((int) (servers * 0.34));
        }
    }

    @Property(seed = "14", tries = 30)
    void shouldNotHerdOntoAServerReportedIdle(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int instances) {
        List<ServerView> servers = new ArrayList<>(Fleets.servers(Fleets.A, 7, Fleets.load(NOW - 2_000, 8, 0, 0, 800)));
        servers.add(Fleets.server(Fleets.A, "a-idle", Health.LIVE, Fleets.load(NOW - 2_000, 0, 0, 0, 0)));
        FleetView fleet = Fleets.fleet(Fleets.A, 0, List.of(), servers);
        List<WeightedPolicy> policies = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            policies.add(PlacementPolicies.weighted(PlacementTuning.defaults()));
        }
        Random random = new Random(seed);
        Map<ServerId, Integer> count = new HashMap<>();
        int requests = 40 * instances;
        for (int i = 0; i < requests; i++) {
            WeightedPolicy policy = policies.get(i % instances);
            PlacementRequest request = Fleets.request("r" + i, workspace(0), 400, List.of(), List.of());
            Placement placement = policy.place(request, note(0), fleet, NOW, random);
            policy.recordDispatch(request, placement, NOW);
            count.merge(((Placement.Serve) placement).server().id(), 1, Integer::sum);
        }
        assertThat(count.get(new ServerId("a-idle"))).isLessThan(requests * 3 / 8);
    }
}
