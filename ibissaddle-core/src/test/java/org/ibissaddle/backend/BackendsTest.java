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
    private static final Zone NEAR = new Zone("north-a");
    private static final Zone FAR = new Zone("south-a");
    private static final String ENGINES = "engines";
    private static final String LEDGER = "ledger";
    private static final long COLD_MS = 3_000;
    private static final double COLD_PER_SECOND = 3.5;

    private final Backends backends =
            new Backends(new Region("north"), Map.of(NEAR, new Region("north"), FAR, new Region("south")));

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

    private BackendServer found(String service, Work work, long nowMs) {
        assertThat(choose(service, work, nowMs)).isInstanceOf(Choice.Found.class);
        return ((Choice.Found) choose(service, work, nowMs)).server();
    }

    @Nested
    class Eligibility {
        @Test
        void shouldUseServersOfTheOwnRegionOnly() {
            publish("far", LEDGER, FAR, false, 0);

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Absent.class);
        }

        @Test
        void shouldSendNothingToALeavingServer() {
            publish("s", LEDGER, NEAR, false, 0);
            publish("s", LEDGER, NEAR, true, 0);

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Absent.class);
        }

        @Test
        void shouldSendNothingIntoAnEvacuatedZone() {
            publish("s", LEDGER, NEAR, false, 0);
            backends.learn(new Fact.EvacuationRequested(NEAR), 0);
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Absent.class);

            backends.learn(new Fact.EvacuationWithdrawn(NEAR), 0);
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Found.class);
        }

        @Test
        void shouldSendNothingToADoubtedServerUntilItIsProven() {
            publish("s", LEDGER, NEAR, false, 0);
            BackendServer server = found(LEDGER, Work.PLAIN, 0);
            server.doubt();
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Busy.class);

            server.proven(0, 0);
            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Found.class);
        }

        @Test
        void shouldFillNoServerBeyondItsSlots() {
            publish("s", LEDGER, NEAR, false, 0);
            for (int i = 0; i < 2; i++) {
                found(LEDGER, Work.PLAIN, 0).place(Work.PLAIN, 0, Long.MAX_VALUE, 0);
            }

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Busy.class);
        }

        @Test
        void shouldUseEjectedServersWhenAllAre() {
            publish("s", LEDGER, NEAR, false, 0);
            BackendServer server = found(LEDGER, Work.PLAIN, 0);
            while (!server.isEjected(0)) {
                server.failed(0);
            }

            assertThat(choose(LEDGER, Work.PLAIN, 0)).isInstanceOf(Choice.Found.class);
        }
    }

    @Nested
    class ColdServers {
        @Test
        void shouldStayWithinThePaceInAnySecondWhateverOthersSend() {
            publish("s", ENGINES, NEAR, false, COLD_MS);
            int sharers = 2;
            int sent = 0;
            for (long nowMs = 0; nowMs < 1_000; nowMs += 10) {
                if (backends.choose(ENGINES, Work.PLAIN, Set.of(), sharers, nowMs) instanceof Choice.Found choice) {
                    choice.server().place(Work.PLAIN, 0, Long.MAX_VALUE, nowMs).ended();
                    sent++;
                }
            }
            assertThat(sent * sharers).isBetween(sharers, (int) Math.floor(COLD_PER_SECOND * 1.5 + 3));
        }

        @Test
        void shouldTreatServersOfAReturningZoneAsCold() {
            publish("s", ENGINES, NEAR, false, 0);
            backends.learn(new Fact.EvacuationRequested(NEAR), 10_000);
            backends.learn(new Fact.EvacuationWithdrawn(NEAR), 20_000);

            assertThat(found(ENGINES, Work.PLAIN, 20_000).isCold(20_000 + COLD_MS - 1))
                    .isTrue();
        }
    }

    @Nested
    class CopiesOfTheCache {
        private final Work dossier = new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));

        private Choice.Found elsewhere(BackendServer first) {
            return (Choice.Found)
                    backends.choose(ENGINES, dossier, Set.of(first.entry().id()), 1, 0);
        }

        @Test
        void shouldCopyASharedPartThatAnotherServerHasRead() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            BackendServer first = found(ENGINES, dossier, 0);
            first.place(dossier, 0, 300_000, 0).answered();

            Choice.Found second = elsewhere(first);

            assertThat(second.cacheSource()).contains(first);
            assertThat(second.server().tokensToCopy(dossier, first)).isEqualTo(13_300);
        }

        @Test
        void shouldNotCopyWhatTheOtherServerIsStillReading() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            BackendServer first = found(ENGINES, dossier, 0);
            first.place(dossier, 0, 300_000, 0);

            assertThat(elsewhere(first).cacheSource()).isEmpty();
        }

        @Test
        void shouldNotCopyFromALeavingServer() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            BackendServer first = found(ENGINES, dossier, 0);
            first.place(dossier, 0, 300_000, 0).answered();
            publish(first.entry().id().name(), ENGINES, NEAR, true, 0);

            assertThat(elsewhere(first).cacheSource()).isEmpty();
        }

        @Test
        void shouldReadShortPartsRatherThanCopyThem() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            Work question = new Work("m", 300, 50, List.of(new PromptPart("greeting", 200)));
            BackendServer first = found(ENGINES, question, 0);
            first.place(question, 0, 300_000, 0).answered();

            Choice.Found second = (Choice.Found)
                    backends.choose(ENGINES, question, Set.of(first.entry().id()), 1, 0);

            assertThat(second.cacheSource()).isEmpty();
        }

        @Test
        void shouldCountOnlyTokensThatTheServerReadsItself() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            BackendServer first = found(ENGINES, dossier, 0);
            first.place(dossier, 0, 300_000, 0).answered();
            BackendServer second = elsewhere(first).server();

            second.place(dossier, 13_300, 300_000, 0);

            assertThat(second.backlogTokens()).isEqualTo(3_700);
        }
    }

    @Nested
    class WhatServersSayOfTheirCache {
        private final Work dossier =
                new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300), new PromptPart("own", 3_700)));

        @Test
        void shouldFindPartsThatAnotherInstanceSentThere() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            BackendServer keeper = backends.server(new ServerId("b")).orElseThrow();

            keeper.cacheChanged(new CacheChange("m", "shared", 13_300));

            assertThat(keeper.missingTokens(dossier)).isEqualTo(3_700);
            assertThat(found(ENGINES, dossier, 0)).isSameAs(keeper);
            assertThat(backends.unsharedReadMs(ENGINES, dossier)).isZero();
        }

        @Test
        void shouldCountOnlyWhatIsLeftOfAPart() {
            publish("a", ENGINES, NEAR, false, 0);
            BackendServer keeper = found(ENGINES, dossier, 0);

            keeper.cacheChanged(new CacheChange("m", "shared", 8_000));
            keeper.cacheChanged(new CacheChange("m", "own", 3_700));

            assertThat(keeper.missingTokens(dossier)).isEqualTo(9_000);
        }

        @Test
        void shouldForgetAPartThatWasEvicted() {
            publish("a", ENGINES, NEAR, false, 0);
            BackendServer keeper = found(ENGINES, dossier, 0);
            keeper.cacheChanged(new CacheChange("m", "shared", 13_300));

            keeper.cacheChanged(new CacheChange("m", "shared", 0));

            assertThat(keeper.missingTokens(dossier)).isEqualTo(17_000);
        }

        @Test
        void shouldKeepAPartThatIsBeingReadAgainWhenNewsOfItsEvictionComesLate() {
            publish("a", ENGINES, NEAR, false, 0);
            BackendServer keeper = found(ENGINES, dossier, 0);
            keeper.place(dossier, 0, 300_000, 0);

            keeper.cacheChanged(new CacheChange("m", "shared", 0));

            assertThat(keeper.keptTokens(dossier)).isEqualTo(17_000);
        }

        @Test
        void shouldNotTakePartsOfAnotherModelForItsOwn() {
            publish("a", ENGINES, NEAR, false, 0);
            BackendServer keeper = found(ENGINES, dossier, 0);

            keeper.cacheChanged(new CacheChange("other", "shared", 13_300));

            assertThat(keeper.missingTokens(dossier)).isEqualTo(17_000);
        }
    }

    /** Pattern: the same long prompts come in every region, and each region would read them for itself. */
    @Nested
    class OwnersOfSharedParts {
        private final Region north = new Region("north");
        private final Region south = new Region("south");

        private Work dossier(String part) {
            return new Work("m", 17_000, 100, List.of(new PromptPart(part, 13_300), new PromptPart("own", 3_700)));
        }

        private String partOwnedBy(Region owner) {
            for (int i = 0; i < 1_000; i++) {
                String part = "part" + i;
                if (backends.owningRegion(ENGINES, dossier(part), Set.of()).equals(Optional.of(owner))) {
                    return part;
                }
            }
            throw new AssertionError("no part is owned by " + owner);
        }

        @Test
        void shouldBeFoundAlikeInEveryRegion() {
            Backends others = new Backends(south, Map.of(NEAR, north, FAR, south));
            for (String id : List.of("a", "b", "c", "d")) {
                Zone zone = id.compareTo("c") < 0 ? NEAR : FAR;
                publish(id, ENGINES, zone, false, 0);
                others.learn(new Fact.ServerPublished(entry(id, ENGINES, zone, false, 0)), 0);
            }

            for (int i = 0; i < 100; i++) {
                Work work = dossier("part" + i);
                assertThat(others.owningRegion(ENGINES, work, Set.of()))
                        .isEqualTo(backends.owningRegion(ENGINES, work, Set.of()));
            }
        }

        @Test
        void shouldLieInAllowedRegionsOnly() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, FAR, false, 0);
            String part = partOwnedBy(south);

            assertThat(backends.owningRegion(ENGINES, dossier(part), Set.of(north)))
                    .contains(north);
        }

        @Test
        void shouldMoveWhenTheirServerLeavesOrItsZoneIsEvacuated() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, FAR, false, 0);
            String part = partOwnedBy(south);

            backends.learn(new Fact.EvacuationRequested(FAR), 0);
            assertThat(backends.owningRegion(ENGINES, dossier(part), Set.of())).contains(north);

            backends.learn(new Fact.EvacuationWithdrawn(FAR), 0);
            publish("b", ENGINES, FAR, true, 0);
            assertThat(backends.owningRegion(ENGINES, dossier(part), Set.of())).contains(north);
        }

        @Test
        void shouldSaveNothingOnPromptsThatNobodyShares() {
            publish("a", ENGINES, NEAR, false, 0);
            Work alone = new Work("m", 17_000, 100, List.of(new PromptPart("own", 17_000)));

            assertThat(backends.unsharedReadMs(ENGINES, alone)).isZero();
            assertThat(backends.unsharedReadMs(ENGINES, dossier("part"))).isPositive();
        }
    }

    @Nested
    class Prefixes {
        @Test
        void shouldReturnToTheServerThatKeepsTheSharedPart() {
            publish("a", ENGINES, NEAR, false, 0);
            publish("b", ENGINES, NEAR, false, 0);
            Work dossier = new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));
            BackendServer first = found(ENGINES, dossier, 0);
            first.place(dossier, 0, 300_000, 0).ended();

            assertThat(found(ENGINES, dossier, 0)).isSameAs(first);
            assertThat(first.missingTokens(dossier)).isEqualTo(3_700);
        }

        @Test
        void shouldForgetThemWhenTheServerRestarts() {
            publish("a", ENGINES, NEAR, false, 0);
            Work dossier = new Work("m", 17_000, 100, List.of(new PromptPart("shared", 13_300)));
            BackendServer server = found(ENGINES, dossier, 0);
            server.place(dossier, 0, 300_000, 0).ended();

            ServerEntry moved = new ServerEntry(
                    new ServerId("a"),
                    ENGINES,
                    Address.parse("10.0.0.9:99"),
                    NEAR,
                    2,
                    false,
                    0,
                    OptionalLong.empty(),
                    OptionalLong.empty());
            backends.learn(new Fact.ServerPublished(moved), 0);

            assertThat(server.missingTokens(dossier)).isEqualTo(17_000);
        }
    }
}
