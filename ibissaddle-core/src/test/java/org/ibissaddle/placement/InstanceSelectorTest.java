package org.ibissaddle.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InstanceSelectorTest {
    private static final long NOW = Fleets.NOW;

    private final ReleaseNote note = Fleets.note(Fleets.UNBOUND, Fleets.BOUND);
    private final Random random = new Random(3);

    private static InstanceSelector.Query query(WorkspaceId workspace, OptionalLong prefix) {
        return new InstanceSelector.Query(workspace, Optional.empty(), prefix);
    }

    private static FleetView fleet(InstanceView... peers) {
        return Fleets.fleet(Fleets.A, 0.2, List.of(peers), List.of());
    }

    private List<String> instanceNames(WorkspaceId workspace, FleetView fleet) {
        return InstanceSelector.select(query(workspace, OptionalLong.empty()), note, fleet, NOW, random)
                .instances()
                .stream()
                .map(instance -> instance.id().name())
                .toList();
    }

    @Nested
    class Answers {
        @Test
        void shouldReturnOnlyInstancesOfTheHomeRegionForABoundWorkspaceAndNoneForAnUnknownOne() {
            FleetView fleet = fleet(Fleets.instance(Fleets.B, "b-i", Health.LIVE, 0, 9));
            assertThat(instanceNames(Fleets.BOUND.id(), fleet)).containsExactly("a-i");
            assertThat(instanceNames(Fleets.UNBOUND.id(), fleet)).containsExactly("a-i", "b-i");
            assertThat(instanceNames(new WorkspaceId("unknown"), fleet)).isEmpty();
        }

        @Test
        void shouldOmitLeavingInstancesAndReturnSuspectOnesLastWithAShorterExpiry() {
            FleetView fleet = fleet(
                    Fleets.instance(Fleets.A, "a-leaving", Health.LEAVING, 0, 9),
                    Fleets.instance(Fleets.A, "a-suspect", Health.SUSPECT, 0, 9),
                    Fleets.instance(Fleets.B, "b-i", Health.LIVE, 0, 9));
            assertThat(instanceNames(Fleets.UNBOUND.id(), fleet)).containsExactly("a-i", "b-i", "a-suspect");
            InstanceSelector.Query query = query(Fleets.UNBOUND.id(), OptionalLong.empty());
            long usualExpiryMs =
                    InstanceSelector.select(query, note, fleet(), NOW, random).validUntilMs();
            assertThat(InstanceSelector.select(query, note, fleet, NOW, random).validUntilMs())
                    .isGreaterThan(NOW)
                    .isLessThan(usualExpiryMs);
        }
    }

    @Nested
    class LoadSpreading {
        private final FleetView fleet = fleet(
                Fleets.instance(Fleets.A, "a-2", Health.LIVE, 0.2, 9),
                Fleets.instance(Fleets.A, "a-3", Health.LIVE, 0.2, 9),
                Fleets.instance(Fleets.A, "a-full", Health.LIVE, 1.4, 0));

        @Test
        void shouldNotSendAllCallersToOneInstance() {
            Map<String, Integer> firstCounts = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                firstCounts.merge(instanceNames(Fleets.UNBOUND.id(), fleet).getFirst(), 1, Integer::sum);
            }
            assertThat(firstCounts).containsOnlyKeys("a-i", "a-2", "a-3");
            assertThat(firstCounts.values()).allSatisfy(n -> assertThat(n).isBetween(60, 140));
        }

        @Test
        void shouldReturnTheSameFirstInstanceForAPrefix() {
            List<String> firstNames = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                InstanceSelector.Query query = query(Fleets.UNBOUND.id(), OptionalLong.of(77));
                firstNames.add(InstanceSelector.select(query, note, fleet, NOW, random)
                        .instances()
                        .getFirst()
                        .id()
                        .name());
            }
            assertThat(firstNames).containsOnly(firstNames.getFirst());
        }
    }

    @Nested
    class KvCacheTransfer {
        private static final double BYTES_PER_TOKEN = 100_000;
        private static final double PREFILL = 8_000;

        @Test
        void shouldRecomputeOverASlowLinkAndTransferLongPrefixesOverAFastOne() {
            assertThat(KvBreakEven.breakEvenTokens(BYTES_PER_TOKEN, 12_500_000, 55, PREFILL))
                    .isEmpty();
            long breakEven = KvBreakEven.breakEvenTokens(BYTES_PER_TOKEN, 1_750_000_000, 55, PREFILL)
                    .orElseThrow();
            assertThat(KvBreakEven.shouldTransfer(breakEven + 1, BYTES_PER_TOKEN, 1_750_000_000, 55, PREFILL, 1e9))
                    .isTrue();
            assertThat(KvBreakEven.shouldTransfer(breakEven - 1, BYTES_PER_TOKEN, 1_750_000_000, 55, PREFILL, 1e9))
                    .isFalse();
            assertThat(KvBreakEven.shouldTransfer(breakEven + 1, BYTES_PER_TOKEN, 1_750_000_000, 55, PREFILL, 1_000))
                    .isFalse();
        }
    }
}
