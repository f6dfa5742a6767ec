package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ibissaddle.catalog.Fact;
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

class BackendsTest {
    private static final Zone LOCAL_ZONE = new Zone("north-a");
    private static final Zone REMOTE_ZONE = new Zone("south-a");
    private static final String ENGINES = "engines";
    private static final String LEDGER = "ledger";
    private static final long COLD_MS = 3_000;
    private static final double COLD_PER_SECOND = 3.5;

    private final Backends backends = new Backends(
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
        backends.learn(
                new Fact.ConfigurationPublished(
                        new Configuration(1, List.of(), List.of(engines, ledger), CallerLimits.DEFAULT)),
                0);
    }

    private void publish(String id, String service, Zone zone, boolean draining, long coldForMs) {
        backends.learn(new Fact.ServerPublished(entry(id, service, zone, draining, coldForMs)), 0);
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

    private Choice choose(String service, Work work, long nowMs) {
        return backends.choose(service, work, Set.of(), 1, nowMs);
    }

    private BackendServer chooseServer(String service, Work work, long nowMs) {
        assertThat(choose(service, work, nowMs)).isInstanceOf(Choice.Found.class);
        return ((Choice.Found) choose(service, work, nowMs)).server();
    }

    @Nested
    class Eligibility {
        @Test
        void shouldUseServersOfTheLocalRegionOnly() {
            publish("far", LEDGER, REMOTE_ZONE, false, 0);

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Absent.class);
        }

        @Test
        void shouldNotSelectADrainingServer() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            publish("s", LEDGER, LOCAL_ZONE, true, 0);

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Absent.class);
        }

        @Test
        void shouldNotSelectServersInAnEvacuatedZone() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            backends.learn(new Fact.EvacuationRequested(LOCAL_ZONE), 0);
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Absent.class);

            backends.learn(new Fact.EvacuationWithdrawn(LOCAL_ZONE), 0);
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Found.class);
        }

        @Test
        void shouldNotSelectAServerBeforeItsPendingHealthCheckSucceeds() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(LEDGER, Work.PLAIN, 0);
            server.doubt();
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Busy.class);

            server.proven(0, 0);
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Found.class);
        }

        @Test
        void shouldNotExceedTheSlotsOfAServer() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            for (int i = 0; i < 2; i++) {
                chooseServer(LEDGER, Work.PLAIN, 0).place(Work.PLAIN, 0, Long.MAX_VALUE, 0);
            }

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Busy.class);
        }

        @Test
        void shouldSelectAnEjectedServerWhenAllAreEjected() {
            publish("s", LEDGER, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(LEDGER, Work.PLAIN, 0);
            while (!server.isEjected(0)) {
                server.failed(0);
            }

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Found.class);
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
                if (backends.choose(ENGINES, Work.PLAIN, Set.of(), sendingInstances, nowMs)
                        instanceof Choice.Found choice) {
                    choice.server().place(Work.PLAIN, 0, Long.MAX_VALUE, nowMs).ended();
                    sent++;
                }
            }
            assertThat(sent * sendingInstances)
                    .isBetween(sendingInstances, (int) Math.floor(COLD_PER_SECOND * 1.5 + 3));
        }

        @Test
        void shouldTreatServersAsColdAfterTheEvacuationOfTheirZoneEnds() {
            publish("s", ENGINES, LOCAL_ZONE, false, 0);
            backends.learn(new Fact.EvacuationRequested(LOCAL_ZONE), 10_000);
            backends.learn(new Fact.EvacuationWithdrawn(LOCAL_ZONE), 20_000);

            assertThat(chooseServer(ENGINES, Work.PLAIN, 20_000).isCold(20_000 + COLD_MS - 1))
                    .isTrue();
        }
    }

    @Nested
    class CacheTransfers {
        private final Work longPrompt = new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));

        private Choice.Found chooseExcept(BackendServer first) {
            return (Choice.Found)
                    backends.choose(ENGINES, longPrompt, Set.of(first.entry().id()), 1, 0);
        }

        @Test
        void shouldCopyASharedPartThatAnotherServerHasPrefilled() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.place(longPrompt, 0, 300_000, 0).answered();

            Choice.Found second = chooseExcept(first);

            assertThat(second.cacheSource()).contains(first);
            assertThat(second.server().tokensToCopy(longPrompt, first)).isEqualTo(13_300);
        }

        @Test
        void shouldNotCopyAPartThatTheOtherServerIsStillPrefilling() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.place(longPrompt, 0, 300_000, 0);

            assertThat(chooseExcept(first).cacheSource()).isEmpty();
        }

        @Test
        void shouldNotCopyFromADrainingServer() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.place(longPrompt, 0, 300_000, 0).answered();
            publish(first.entry().id().name(), ENGINES, LOCAL_ZONE, true, 0);

            assertThat(chooseExcept(first).cacheSource()).isEmpty();
        }

        @Test
        void shouldPrefillShortPartsInsteadOfCopyingThem() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            Work shortPrompt = new Work("m", 300, 50, List.of(new PromptPart("greeting", 200)));
            BackendServer first = chooseServer(ENGINES, shortPrompt, 0);
            first.place(shortPrompt, 0, 300_000, 0).answered();

            Choice.Found second = (Choice.Found)
                    backends.choose(ENGINES, shortPrompt, Set.of(first.entry().id()), 1, 0);

            assertThat(second.cacheSource()).isEmpty();
        }

        @Test
        void shouldExcludeCopiedTokensFromThePrefillBacklog() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.place(longPrompt, 0, 300_000, 0).answered();
            BackendServer second = chooseExcept(first).server();

            second.place(longPrompt, 13_300, 300_000, 0);

            assertThat(second.backlogTokens()).isEqualTo(3_700);
        }
    }

    @Nested
    class CacheEvents {
        private final Work longPrompt =
                new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300), new PromptPart("own", 3_700)));

        @Test
        void shouldUsePartsThatAnotherInstanceSent() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = backends.server(new ServerId("b")).orElseThrow();

            server.cacheChanged(new CacheChange("m", "shared", 13_300));

            assertThat(server.missingTokens(longPrompt)).isEqualTo(3_700);
            assertThat(chooseServer(ENGINES, longPrompt, 0)).isSameAs(server);
            assertThat(backends.unsharedReadMs(ENGINES, longPrompt)).isZero();
        }

        @Test
        void shouldCountOnlyTheCachedTokensOfAPartiallyEvictedPart() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);

            server.cacheChanged(new CacheChange("m", "shared", 8_000));
            server.cacheChanged(new CacheChange("m", "own", 3_700));

            assertThat(server.missingTokens(longPrompt)).isEqualTo(9_000);
        }

        @Test
        void shouldRemoveAnEvictedPart() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);
            server.cacheChanged(new CacheChange("m", "shared", 13_300));

            server.cacheChanged(new CacheChange("m", "shared", 0));

            assertThat(server.missingTokens(longPrompt)).isEqualTo(17_000);
        }

        @Test
        void shouldKeepAPartThatIsBeingPrefilledAgainWhenItsEvictionIsReportedLate() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);
            server.place(longPrompt, 0, 300_000, 0);

            server.cacheChanged(new CacheChange("m", "shared", 0));

            assertThat(server.cachedTokens(longPrompt)).isEqualTo(17_000);
        }

        @Test
        void shouldIgnorePartsOfAnotherModel() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);

            server.cacheChanged(new CacheChange("other", "shared", 13_300));

            assertThat(server.missingTokens(longPrompt)).isEqualTo(17_000);
        }
    }

    /** Guards against each region prefilling the same long shared prompts for itself. */
    @Nested
    class OwningRegions {
        private final Region north = new Region("north");
        private final Region south = new Region("south");

        private Work longPrompt(String part) {
            return new Work("m", 17_000, 100, List.of(new PromptPart(part, 13_300), new PromptPart("own", 3_700)));
        }

        private String partOwnedBy(Region owner) {
            for (int i = 0; i < 1_000; i++) {
                String part = "part" + i;
                if (backends.owningRegion(ENGINES, longPrompt(part), Set.of()).equals(Optional.of(owner))) {
                    return part;
                }
            }
            throw new AssertionError("no prompt part among 1,000 is owned by region " + owner);
        }

        @Test
        void shouldBeTheSameForInstancesInAllRegions() {
            Backends southBackends = new Backends(south, Map.of(LOCAL_ZONE, north, REMOTE_ZONE, south));
            for (String id : List.of("a", "b", "c", "d")) {
                Zone zone = id.compareTo("c") < 0 ? LOCAL_ZONE : REMOTE_ZONE;
                publish(id, ENGINES, zone, false, 0);
                southBackends.learn(new Fact.ServerPublished(entry(id, ENGINES, zone, false, 0)), 0);
            }

            for (int i = 0; i < 100; i++) {
                Work work = longPrompt("part" + i);
                assertThat(southBackends.owningRegion(ENGINES, work, Set.of()))
                        .isEqualTo(backends.owningRegion(ENGINES, work, Set.of()));
            }
        }

        @Test
        void shouldBeAnAllowedRegion() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, REMOTE_ZONE, false, 0);
            String part = partOwnedBy(south);

            assertThat(backends.owningRegion(ENGINES, longPrompt(part), Set.of(north)))
                    .contains(north);
        }

        @Test
        void shouldChangeWhenTheServerDrainsOrItsZoneIsEvacuated() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, REMOTE_ZONE, false, 0);
            String part = partOwnedBy(south);

            backends.learn(new Fact.EvacuationRequested(REMOTE_ZONE), 0);
            assertThat(backends.owningRegion(ENGINES, longPrompt(part), Set.of()))
                    .contains(north);

            backends.learn(new Fact.EvacuationWithdrawn(REMOTE_ZONE), 0);
            publish("b", ENGINES, REMOTE_ZONE, true, 0);
            assertThat(backends.owningRegion(ENGINES, longPrompt(part), Set.of()))
                    .contains(north);
        }

        @Test
        void shouldPredictNoPrefillTimeForPromptsWithoutSharedParts() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            Work unsharedPrompt = new Work("m", 17_000, 100, List.of(new PromptPart("own", 17_000)));

            assertThat(backends.unsharedReadMs(ENGINES, unsharedPrompt)).isZero();
            assertThat(backends.unsharedReadMs(ENGINES, longPrompt("part"))).isPositive();
        }
    }

    @Nested
    class PrefixCaching {
        @Test
        void shouldSelectTheServerThatHasCachedTheSharedPart() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            publish("b", ENGINES, LOCAL_ZONE, false, 0);
            Work longPrompt = new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));
            BackendServer first = chooseServer(ENGINES, longPrompt, 0);
            first.place(longPrompt, 0, 300_000, 0).ended();

            assertThat(chooseServer(ENGINES, longPrompt, 0)).isSameAs(first);
            assertThat(first.missingTokens(longPrompt)).isEqualTo(3_700);
        }

        @Test
        void shouldClearCachedPartsWhenTheAddressOfTheServerChanges() {
            publish("a", ENGINES, LOCAL_ZONE, false, 0);
            Work longPrompt = new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));
            BackendServer server = chooseServer(ENGINES, longPrompt, 0);
            server.place(longPrompt, 0, 300_000, 0).ended();

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
            backends.learn(new Fact.ServerPublished(moved), 0);

            assertThat(server.missingTokens(longPrompt)).isEqualTo(17_000);
        }
    }
}
