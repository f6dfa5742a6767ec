package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ibissaddle.backend.BackendRegistry;
import org.ibissaddle.backend.ColdRateShare;
import org.ibissaddle.backend.KvCacheEvent;
import org.ibissaddle.backend.PromptPart;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.backend.ServerSelectionResult;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.RequestKind;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.ServiceSpec;
import org.ibissaddle.route.WeightedService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers long prompts with shared parts that arrive in every region while each region has few inference engines. */
class RegionSelectorTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");
    private static final Region EAST = new Region("east");
    private static final String ENGINES = "engines";
    private static final long OBJECTIVE_MS = 1_200;
    private static final long ROUND_TRIP_MS = 110;
    private static final int FREE_SLOTS = 30;
    /** Predicted wait at a lightly loaded engine for an answer of medium length, before its speed has been measured. */
    private static final long DEFAULT_WAIT_MS = 300;

    private final BackendRegistry backends =
            new BackendRegistry(NORTH, Map.of(zone(NORTH), NORTH, zone(SOUTH), SOUTH, zone(EAST), EAST));
    private final PeerTable peers = new PeerTable(new InstanceId("north-1"), new Region("north"), true, 0);
    private final RegionSelector regions = new RegionSelector(NORTH, backends, peers);

    @BeforeEach
    void registerServersAndPeers() {
        ServiceSpec engines = new ServiceSpec(
                ENGINES, "/health", 100, 0, 0, Optional.of(new EngineSpec(64, 300_000, 5, 100_000, 800_000)));
        backends.apply(
                new CatalogEvent.ConfigurationPublished(
                        new Configuration(1, List.of(), List.of(engines), CallerLimits.DEFAULT)),
                0);
        publishServer("n1", NORTH);
        publishServer("s1", SOUTH);
        publishServer("e1", EAST);
        recordLoad(SOUTH, FREE_SLOTS, DEFAULT_WAIT_MS, 1);
        recordLoad(EAST, FREE_SLOTS, DEFAULT_WAIT_MS, 1);
        peers.recordRoundTrip(SOUTH, ROUND_TRIP_MS);
        peers.recordRoundTrip(EAST, ROUND_TRIP_MS);
        // The prefill speed is estimated from observations; the first one registers the service.
        backends.recordFirstChunk(ENGINES, 0, 0);
    }

    private static Zone zone(Region region) {
        return new Zone(region.name() + "-a");
    }

    private void publishServer(String id, Region region) {
        ServerEntry entry = new ServerEntry(
                new ServerId(id),
                ENGINES,
                Address.parse("10.0.0.1:" + (1_000 + id.hashCode())),
                zone(region),
                64,
                false,
                0,
                OptionalLong.empty(),
                OptionalLong.empty());
        backends.apply(new CatalogEvent.ServerPublished(entry), 0);
    }

    private void recordLoad(Region region, int freeSlots, long waitMs, long sequence) {
        Address address = Address.parse("10.0.1." + region.name().length() + ":80");
        PeerState state = new PeerState(
                new InstanceId(region.name() + "-1"),
                1,
                sequence,
                region,
                zone(region),
                address,
                address,
                true,
                false,
                StoreVersion.NONE,
                true,
                0,
                Map.of(ENGINES, new ServiceLoad(freeSlots, waitMs)));
        peers.update(new RelayedState(state, 0), 0);
    }

    private static RequestDemand longPrompt(String part) {
        return new RequestDemand("m", 17_000, 100, List.of(new PromptPart(part, 13_300), new PromptPart("own", 3_700)));
    }

    private String sharedPartOwnedBy(Region owner) {
        for (int i = 0; i < 1_000; i++) {
            if (backends.preferredRegion(ENGINES, longPrompt("part" + i), Set.of())
                    .equals(Optional.of(owner))) {
                return "part" + i;
            }
        }
        throw new AssertionError("no part is owned by " + owner);
    }

    private static Route route(long objectiveMs, Set<Region> homeRegions) {
        return new Route(
                "dossiers",
                "h",
                "/",
                RequestKind.STREAMING,
                8_000,
                objectiveMs,
                1,
                List.of(new WeightedService(ENGINES, 1)),
                1,
                false,
                homeRegions,
                false);
    }

    private Optional<Region> chosenRegion(RequestDemand demand, Route route) {
        ServerSelectionResult localChoice = backends.selectServer(ENGINES, demand, Set.of(), ColdRateShare.WHOLE, 0);
        return chosenRegion(demand, route, localChoice);
    }

    private Optional<Region> chosenRegion(RequestDemand demand, Route route, ServerSelectionResult localChoice) {
        return regions.choose(new RegionSelector.Request(route, ENGINES, demand, Set.of()), localChoice, 0)
                .map(PeerState::region);
    }

    @Nested
    class WithLocalCapacity {
        @Test
        void shouldForwardToTheRegionThatOwnsTheSharedPart() {
            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(SOUTH)), route(OBJECTIVE_MS, Set.of())))
                    .contains(SOUTH);
            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(EAST)), route(OBJECTIVE_MS, Set.of())))
                    .contains(EAST);
            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(NORTH)), route(OBJECTIVE_MS, Set.of())))
                    .isEmpty();
        }

        @Test
        void shouldNotForwardWhenALocalServerHasCachedTheSharedPart() {
            String part = sharedPartOwnedBy(SOUTH);
            backends.server(new ServerId("n1")).orElseThrow().applyCacheEvent(new KvCacheEvent("m", part, 13_300));

            assertThat(chosenRegion(longPrompt(part), route(OBJECTIVE_MS, Set.of())))
                    .isEmpty();
        }

        @Test
        void shouldNotForwardWhenTheRoundTripTakesTooMuchOfTheObjective() {
            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(SOUTH)), route(ROUND_TRIP_MS * 2, Set.of())))
                    .isEmpty();
        }

        @Test
        void shouldNotForwardWhenTheOtherRegionIsMuchBusier() {
            recordLoad(SOUTH, FREE_SLOTS, 5_000, 2);

            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(SOUTH)), route(OBJECTIVE_MS, Set.of())))
                    .isEmpty();
        }

        @Test
        void shouldNotForwardShortPrompts() {
            RequestDemand shortPrompt = new RequestDemand(
                    "m", 400, 50, List.of(new PromptPart("greeting", 60), new PromptPart("own", 340)));

            assertThat(chosenRegion(shortPrompt, route(OBJECTIVE_MS, Set.of()))).isEmpty();
        }
    }

    @Nested
    class WithoutLocalCapacity {
        private final ServerSelectionResult localBusy = new ServerSelectionResult.AtCapacity("full");

        @Test
        void shouldPreferTheRegionThatOwnsTheSharedPart() {
            recordLoad(SOUTH, FREE_SLOTS, 900, 2);

            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(SOUTH)), route(OBJECTIVE_MS, Set.of()), localBusy))
                    .contains(SOUTH);
        }

        @Test
        void shouldForwardToAnotherRegionWhenTheOwnerHasNoFreeSlots() {
            recordLoad(SOUTH, 0, DEFAULT_WAIT_MS, 2);

            assertThat(chosenRegion(longPrompt(sharedPartOwnedBy(SOUTH)), route(OBJECTIVE_MS, Set.of()), localBusy))
                    .contains(EAST);
        }

        @Test
        void shouldNeverForwardOutsideTheHomeRegions() {
            assertThat(chosenRegion(
                            longPrompt(sharedPartOwnedBy(SOUTH)), route(OBJECTIVE_MS, Set.of(NORTH, EAST)), localBusy))
                    .contains(EAST);
            assertThat(chosenRegion(
                            longPrompt(sharedPartOwnedBy(SOUTH)), route(OBJECTIVE_MS, Set.of(NORTH)), localBusy))
                    .isEmpty();
        }
    }
}
