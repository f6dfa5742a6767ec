package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.ServiceSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {
    private static final Zone LOCAL_ZONE = new Zone("north-a");
    private static final Zone REMOTE_ZONE = new Zone("south-a");
    private static final String ENGINES = "engines";
    private static final String LEDGER = "ledger";
    private static final long COLD_MS = 3_000;
    private static final double COLD_PER_SECOND = 3.5;

    private final BackendRegistry backends = new BackendRegistry(
            new Region("north"), Map.of(LOCAL_ZONE, new Region("north"), REMOTE_ZONE, new Region("south")));

    @BeforeEach
    void declareServices() {
        ServiceSpec engines = new ServiceSpec(
                ENGINES,
                "/health",
                100,
                COLD_MS,
                COLD_PER_SECOND,
                Optional.of(new EngineSpec(64, 300_000, 5, 100_000, 800_000)));
        ServiceSpec ledger = new ServiceSpec(LEDGER, "/health", 100, 0, 0, Optional.empty());
        backends.apply(
                new CatalogEvent.ConfigurationPublished(
                        new Configuration(1, List.of(), List.of(engines, ledger), CallerLimits.DEFAULT)),
                0);
    }

    private void publish(String id, String service, Zone zone, boolean draining, long coldForMs) {
        backends.apply(new CatalogEvent.ServerPublished(entry(id, service, zone, draining, coldForMs)), 0);
    }

    private static ServerEntry entry(String id, String service, Zone zone, boolean draining, long coldForMs) {
        return new ServerEntry(
                new ServerId(id),
                service,
                Address.parse("10.0.0.1:" + (1_000 + Math.floorMod(id.hashCode(), 9_000))),
                zone,
                2,
                draining,
                coldForMs,
                OptionalLong.empty(),
                OptionalLong.empty());
    }

    /** Guards against an entry whose zone the settings don't name, on routes with home regions. */
    @Test
    void shouldPreferNoServerOfAnUnknownZone() {
        publish("odd", ENGINES, new Zone("nowhere-a"), false, 0);
        RequestDemand demand =
                new RequestDemand("m", 30, 10, List.of(new PromptPart("a", 20), new PromptPart("b", 10)));

        assertThat(backends.preferredRegion(ENGINES, demand, Set.of(new Region("north"))))
                .isEmpty();
        assertThat(backends.preferredRegion(ENGINES, demand, Set.of())).isEmpty();
        publish("sound", ENGINES, LOCAL_ZONE, false, 0);
        assertThat(backends.preferredRegion(ENGINES, demand, Set.of())).hasValue(new Region("north"));
    }

    private ServerSelectionResult choose(String service, RequestDemand demand, long nowMs) {
        return backends.selectServer(service, demand, Set.of(), ColdRateShare.WHOLE, nowMs);
    }

    private BackendServer chooseServer(String service, RequestDemand demand, long nowMs) {
        assertThat(choose(service, demand, nowMs)).isInstanceOf(ServerSelectionResult.Selected.class);
        return ((ServerSelectionResult.Selected) choose(service, demand, nowMs)).server();
    }

    @Nested
    class Eligibility {
        @Test
        void shouldUseServersOfTheLocalRegionOnly() {
            publish("far", LEDGER, REMOTE_ZONE, false, 0);

            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.NoServer.class);
        }

        @Test
        void shouldNotSelectADrainingServer() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            publish("s", LEDGER, LOCAL_ZONE, true, 0);

            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.NoServer.class);
        }

        @Test
        void shouldNotSelectServersInAnEvacuatedZone() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            backends.apply(new CatalogEvent.EvacuationRequested(LOCAL_ZONE), 0);
            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.NoServer.class);

            backends.apply(new CatalogEvent.EvacuationWithdrawn(LOCAL_ZONE), 0);
            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.Selected.class);
        }

        @Test
        void shouldNotSelectAServerBeforeItsPendingHealthCheckSucceeds() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(LEDGER, RequestDemand.PLAIN, 0);
            server.requireHealthCheck();
            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.AtCapacity.class);

            server.healthCheckSucceeded(0, 0);
            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.Selected.class);
        }

        @Test
        void shouldNotExceedTheSlotsOfAServer() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            for (int i = 0; i < 2; i++) {
                chooseServer(LEDGER, RequestDemand.PLAIN, 0).requestSent(RequestDemand.PLAIN, 0, Long.MAX_VALUE, 0);
            }

            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.AtCapacity.class);
        }

        @Test
        void shouldSelectAnEjectedServerWhenAllAreEjected() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(LEDGER, RequestDemand.PLAIN, 0);
            while (!server.isEjected(0)) {
                server.recordFailure(0);
            }

            assertThat(choose(LEDGER, RequestDemand.PLAIN, 0)).isInstanceOf(ServerSelectionResult.Selected.class);
        }
    }

    @Nested
    class ColdServers {
        @Test
        void shouldLimitTheRequestRateOfAColdServerAcrossInstances() {
            publish("s", ENGINES, LOCAL_ZONE, false, COLD_MS);
            int sendingInstances = 2;
            int sent = 0;
            for (long nowMs = 0; nowMs < 1_000; nowMs += 10) {
                if (backends.selectServer(
                                ENGINES, RequestDemand.PLAIN, Set.of(), server -> 1.0 / sendingInstances, nowMs)
                        instanceof ServerSelectionResult.Selected choice) {
                    choice.server()
                            .requestSent(RequestDemand.PLAIN, 0, Long.MAX_VALUE, nowMs)
                            .ended();
                    sent++;
                }
            }
            assertThat(sent * sendingInstances)
                    .isBetween(sendingInstances, (int) Math.floor(COLD_PER_SECOND * 1.5 + 3));
        }

        @Test
        void shouldTreatServersAsColdAfterTheEvacuationOfTheirZoneEnds() {
            publish("s", ENGINES, LOCAL_ZONE, false, 0);
            backends.apply(new CatalogEvent.EvacuationRequested(LOCAL_ZONE), 10_000);
            backends.apply(new CatalogEvent.EvacuationWithdrawn(LOCAL_ZONE), 20_000);

            assertThat(chooseServer(ENGINES, RequestDemand.PLAIN, 20_000).isCold(20_000 + COLD_MS - 1))
                    .isTrue();
        }
    }

    @Nested
    class PendingHealthChecks {
        // The end of an evacuation once replaced the health check of a server that had failed meanwhile.
        @Test
        void shouldKeepAPendingHealthCheckWhenAnEvacuationEnds() {
            publish("s", ENGINES, LOCAL_ZONE, false, 0);
            backends.apply(new CatalogEvent.EvacuationRequested(LOCAL_ZONE), 10_000);
            backends.server(new ServerId("s")).orElseThrow().requireHealthCheck();

            backends.apply(new CatalogEvent.EvacuationWithdrawn(LOCAL_ZONE), 20_000);

            assertThat(choose(ENGINES, RequestDemand.PLAIN, 20_000))
                    .isInstanceOf(ServerSelectionResult.AtCapacity.class);
        }
    }

    @Nested
    class CacheTransfers {
        private final RequestDemand longPrompt =
                new RequestDemand("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));

        private ServerSelectionResult.Selected chooseExcept(BackendServer first) {
            return (ServerSelectionResult.Selected) backends.selectServer(
                    ENGINES, longPrompt, Set.of(first.entry().id()), ColdRateShare.WHOLE, 0);
        }

        @Test
        void shouldCopyASharedPartThatAnotherServerHasPrefilled() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.requestSent(longPrompt, 0, 300_000, 0).firstChunkReceived();

            ServerSelectionResult.Selected second = chooseExcept(first);

            assertThat(second.cacheSource()).contains(first);
            assertThat(second.server().tokensToCopy(longPrompt, first)).isEqualTo(13_300);
        }

        @Test
        void shouldNotCopyAPartThatTheOtherServerIsStillPrefilling() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.requestSent(longPrompt, 0, 300_000, 0);

            assertThat(chooseExcept(first).cacheSource()).isEmpty();
        }

        @Test
        void shouldNotCopyFromADrainingServer() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.requestSent(longPrompt, 0, 300_000, 0).firstChunkReceived();
            publish(first.entry().id().name(), ENGINES, LOCAL_ZONE, true, 0);

            assertThat(chooseExcept(first).cacheSource()).isEmpty();
        }

        @Test
        void shouldPrefillShortPartsInsteadOfCopyingThem() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            RequestDemand shortPrompt = new RequestDemand("m", 300, 50, List.of(new PromptPart("greeting", 200)));
            BackendServer first = chooseServer(ENGINES, shortPrompt, 0);
            first.requestSent(shortPrompt, 0, 300_000, 0).firstChunkReceived();

            ServerSelectionResult.Selected second = (ServerSelectionResult.Selected) backends.selectServer(
                    ENGINES, shortPrompt, Set.of(first.entry().id()), ColdRateShare.WHOLE, 0);

            assertThat(second.cacheSource()).isEmpty();
        }

        @Test
        void shouldExcludeCopiedTokensFromThePrefillBacklog() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.requestSent(longPrompt, 0, 300_000, 0).firstChunkReceived();
            BackendServer second = chooseExcept(first).server();

            second.requestSent(longPrompt, 13_300, 300_000, 0);

            assertThat(second.backlogTokens()).isEqualTo(3_700);
        }
    }

    @Nested
    class CacheEvents {
        private final RequestDemand longPrompt = new RequestDemand(
                "m", 17_000, 100, List.of(new PromptPart("shared", 13_300), new PromptPart("own", 3_700)));

        @Test
        void shouldUsePartsThatAnotherInstanceSent() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = backends.server(new ServerId("b")).orElseThrow();

            server.applyCacheEvent(new KvCacheEvent("m", "shared", 13_300));

            assertThat(server.uncachedTokens(longPrompt)).isEqualTo(3_700);
            assertThat(chooseServer(ENGINES, longPrompt, 0)).isSameAs(server);
            assertThat(backends.uncachedSharedPrefillMs(ENGINES, longPrompt)).isZero();
        }

        @Test
        void shouldCountOnlyTheCachedTokensOfAPartiallyEvictedPart() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);

            server.applyCacheEvent(new KvCacheEvent("m", "shared", 8_000));
            server.applyCacheEvent(new KvCacheEvent("m", "own", 3_700));

            assertThat(server.uncachedTokens(longPrompt)).isEqualTo(9_000);
        }

        @Test
        void shouldRemoveAnEvictedPart() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);
            server.applyCacheEvent(new KvCacheEvent("m", "shared", 13_300));

            server.applyCacheEvent(new KvCacheEvent("m", "shared", 0));

            assertThat(server.uncachedTokens(longPrompt)).isEqualTo(17_000);
        }

        @Test
        void shouldKeepAPartThatIsBeingPrefilledAgainWhenItsEvictionIsReportedLate() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);
            server.requestSent(longPrompt, 0, 300_000, 0);

            server.applyCacheEvent(new KvCacheEvent("m", "shared", 0));

            assertThat(server.cachedTokens(longPrompt)).isEqualTo(17_000);
        }

        @Test
        void shouldIgnorePartsOfAnotherModel() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);

            server.applyCacheEvent(new KvCacheEvent("other", "shared", 13_300));

            assertThat(server.uncachedTokens(longPrompt)).isEqualTo(17_000);
        }
    }

    /** Guards against each region prefilling the same long shared prompts for itself. */
    @Nested
    class OwningRegions {
        private final Region north = new Region("north");
        private final Region south = new Region("south");

        private RequestDemand longPrompt(String part) {
            return new RequestDemand(
                    "m", 17_000, 100, List.of(new PromptPart(part, 13_300), new PromptPart("own", 3_700)));
        }

        private String partOwnedBy(Region owner) {
            for (int i = 0; i < 1_000; i++) {
                String part = "part" + i;
                if (backends.preferredRegion(ENGINES, longPrompt(part), Set.of())
                        .equals(Optional.of(owner))) {
                    return part;
                }
            }
            throw new AssertionError("no prompt part among 1,000 is owned by region " + owner);
        }

        @Test
        void shouldBeTheSameForInstancesInAllRegions() {
            BackendRegistry southBackends = new BackendRegistry(south, Map.of(LOCAL_ZONE, north, REMOTE_ZONE, south));
            for (String id : List.of("a", "b", "c", "d")) {
                Zone zone = id.compareTo("c") < 0 ? LOCAL_ZONE : REMOTE_ZONE;
                publish(id, ENGINES, zone, false, 0);
                southBackends.apply(new CatalogEvent.ServerPublished(entry(id, ENGINES, zone, false, 0)), 0);
            }

            for (int i = 0; i < 100; i++) {
                RequestDemand demand = longPrompt("part" + i);
                assertThat(southBackends.preferredRegion(ENGINES, demand, Set.of()))
                        .isEqualTo(backends.preferredRegion(ENGINES, demand, Set.of()));
            }
        }

        @Test
        void shouldBeAnAllowedRegion() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, REMOTE_ZONE, false, 0);
            String part = partOwnedBy(south);

            assertThat(backends.preferredRegion(ENGINES, longPrompt(part), Set.of(north)))
                    .contains(north);
        }

        @Test
        void shouldChangeWhenTheServerDrainsOrItsZoneIsEvacuated() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, REMOTE_ZONE, false, 0);
            String part = partOwnedBy(south);

            backends.apply(new CatalogEvent.EvacuationRequested(REMOTE_ZONE), 0);
            assertThat(backends.preferredRegion(ENGINES, longPrompt(part), Set.of()))
                    .contains(north);

            backends.apply(new CatalogEvent.EvacuationWithdrawn(REMOTE_ZONE), 0);
            publish("b", ENGINES, REMOTE_ZONE, true, 0);
            assertThat(backends.preferredRegion(ENGINES, longPrompt(part), Set.of()))
                    .contains(north);
        }

        @Test
        void shouldPredictNoPrefillTimeForPromptsWithoutSharedParts() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            RequestDemand unsharedPrompt = new RequestDemand("m", 17_000, 100, List.of(new PromptPart("own", 17_000)));

            assertThat(backends.uncachedSharedPrefillMs(ENGINES, unsharedPrompt))
                    .isZero();
            assertThat(backends.uncachedSharedPrefillMs(ENGINES, longPrompt("part")))
                    .isPositive();
        }
    }

    @Nested
    class PrefixCaching {
        @Test
        void shouldSelectTheServerThatHasCachedTheSharedPart() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            RequestDemand longPrompt = new RequestDemand("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.requestSent(longPrompt, 0, 300_000, 0).ended();

            assertThat(chooseServer(ENGINES, longPrompt, 0)).isSameAs(first);
            assertThat(first.uncachedTokens(longPrompt)).isEqualTo(3_700);
        }

        @Test
        void shouldClearCachedPartsWhenTheAddressOfTheServerChanges() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            RequestDemand longPrompt = new RequestDemand("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);
            server.requestSent(longPrompt, 0, 300_000, 0).ended();

            ServerEntry moved = new ServerEntry(
                    new ServerId("a"),
                    ENGINES,
                    Address.parse("10.0.0.9:99"),
                    LOCAL_ZONE,
                    2,
                    false,
                    0,
                    OptionalLong.empty(),
                    OptionalLong.empty());
            backends.apply(new CatalogEvent.ServerPublished(moved), 0);

            assertThat(server.uncachedTokens(longPrompt)).isEqualTo(17_000);
        }
    }
}
