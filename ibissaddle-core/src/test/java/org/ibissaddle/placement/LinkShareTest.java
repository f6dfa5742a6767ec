package org.ibissaddle.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many instances of a region that forward requests over the same link. */
class LinkShareTest {
    private static final int PROMPT_TOKENS = 50_000;
    private static final double PROMPT_BYTES = PROMPT_TOKENS * 6.0;
    private static final double SHARE = 0.3;
    private static final double SHARE_BYTES_PER_SECOND = 12_500_000 * SHARE;
    private static final long DURATION_MS = 10_000;
    private static final long STEP_MS = 10;
    /** The budget of a link holds what may be sent in one second. */
    private static final double MAX_SENT_BYTES = SHARE_BYTES_PER_SECOND * (DURATION_MS / 1_000.0 + 1);

    private final ReleaseNote note = Fleets.note(
            new ObjectiveWeights(0, 1, 0, 660, false), new SpillRules(true, 1, 0.8, 0.4, 0.1, SHARE), Fleets.UNBOUND);

    // The share of the link was not deducted, so that each instance could send without limit.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 12})
    void shouldLimitTheBytesForwardedOverALinkForAnyNumberOfInstances(int count) {
        assertThat(bytesForwarded(count)).isBetween(SHARE_BYTES_PER_SECOND, MAX_SENT_BYTES);
    }

    // A request larger than what an instance may send in one second was never forwarded.
    @Test
    void shouldForwardRequestsLargerThanTheBudgetOfAnInstance() {
        assertThat(bytesForwarded(126)).isGreaterThan(SHARE_BYTES_PER_SECOND);
    }

    /** Lets each instance forward as much as its policy allows, and returns the bytes of the prompts. */
    private double bytesForwarded(int count) {
        List<InstanceView> instances = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            instances.add(Fleets.instance(Fleets.A, "a-" + i, Health.LIVE, 2, 0));
        }
        double bytes = 0;
        for (InstanceView instance : instances) {
            bytes += forwardedBy(fleetOf(instance, instances)) * PROMPT_BYTES;
        }
        return bytes;
    }

    private static FleetView fleetOf(InstanceView self, List<InstanceView> instances) {
        List<InstanceView> peers = new ArrayList<>(instances);
        peers.remove(self);
        peers.add(Fleets.instance(Fleets.B, "b-0", Health.LIVE, 0, 1e9));
        return new FleetView(
                self,
                peers,
                List.of(Fleets.server(Fleets.A, "a-s0", Health.LIVE, Fleets.load(Fleets.NOW, 16, 9, 60_000, 5_000))),
                Fleets.NOW);
    }

    private int forwardedBy(FleetView fleet) {
        WeightedPolicy policy = PlacementPolicies.weighted(PlacementTuning.defaults());
        Random random = new Random(1);
        int forwarded = 0;
        for (long nowMs = Fleets.NOW; nowMs < Fleets.NOW + DURATION_MS; nowMs += STEP_MS) {
            PlacementRequest request = Fleets.request("r" + nowMs, Fleets.UNBOUND, PROMPT_TOKENS, List.of(), List.of());
            Placement placement = policy.place(request, note, fleet, nowMs, random);
            if (placement instanceof Placement.Forward) {
                policy.recordDispatch(request, placement, nowMs).completed(true, nowMs);
                forwarded++;
            }
        }
        return forwarded;
    }
}
