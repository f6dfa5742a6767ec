package org.ibissaddle.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a store that comes back from an older copy and gives out revisions a second time. */
class CatalogEraTest {
    private static final ServerId SERVER = new ServerId("s1");
    private static final Zone ZONE = new Zone("north-a");
    private static final String READY = "ready 100 5";
    private static final String READY_LATER = "ready 100 6";
    private static final String DRAINING = "draining 100 7";

    private final Catalog catalog = new Catalog(CatalogEraTest::decode);

    /** Decodes keys of servers, whose values are a state, a start time and a sequence number, and others. */
    static CatalogEvent decode(CatalogItem item) {
        if (item.key().startsWith("s")) {
            ServerId id = new ServerId(item.key());
            return item.isRemoved()
                    ? new CatalogEvent.ServerRemoved(id)
                    : new CatalogEvent.ServerPublished(entry(id, item.value().split(" ", -1)));
        }
        if (item.key().equals("configuration")) {
            return item.isRemoved()
                    ? new CatalogEvent.Ignored(item.key())
                    : new CatalogEvent.ConfigurationPublished(new Configuration(
                            Long.parseLong(item.value()), List.of(), List.of(), CallerLimits.DEFAULT));
        }
        return item.isRemoved()
                ? new CatalogEvent.EvacuationWithdrawn(new Zone(item.key()))
                : new CatalogEvent.EvacuationRequested(new Zone(item.key()));
    }

    private static ServerEntry entry(ServerId id, String[] parts) {
        return new ServerEntry(
                id,
                "svc",
                Address.parse("10.0.0.1:80"),
                ZONE,
                6,
                parts[0].equals("draining"),
                0,
                OptionalLong.empty(),
                OptionalLong.of(Long.parseLong(parts[1])),
                OptionalLong.of(Long.parseLong(parts[2])));
    }

    private static CatalogItem item(String key, String value, long era, long revision) {
        return new CatalogItem(key, value, new StoreVersion(era, revision));
    }

    private List<CatalogEvent> list(long era, long revision, CatalogItem... items) {
        return catalog.applySnapshot(Arrays.asList(items), new StoreVersion(era, revision), 0);
    }

    @BeforeEach
    void listFirstEra() {
        list(1, 30, item("s1", READY_LATER, 1, 28), item("configuration", "7", 1, 29));
    }

    @Nested
    class Writes {
        /** Guards against ignoring what is written under a revision that the era before has given out as well. */
        @Test
        void shouldApplyAChangeUnderALowerRevision() {
            list(2, 20, item("s1", READY, 2, 12), item("configuration", "6", 2, 14));

            catalog.apply(List.of(item("s1", DRAINING, 2, 21), item("configuration", "8", 2, 22)), 0);

            assertThat(catalog.servers().get(SERVER).draining()).isTrue();
            assertThat(catalog.configuration()).map(Configuration::version).hasValue(8L);
        }

        /** Guards against keeping a server that is removed under a revision given out before. */
        @Test
        void shouldApplyARemovalUnderALowerRevision() {
            list(2, 20, item("s1", READY, 2, 12));

            catalog.apply(List.of(item("s1", null, 2, 21)), Catalog.REPUBLISH_GRACE_MS);

            assertThat(catalog.servers()).isEmpty();
        }

        @Test
        void shouldHandleAnEraThatWasMissed() {
            list(4, 3, item("s1", READY, 4, 2));

            assertThat(catalog.apply(List.of(item("s2", READY, 3, 40)), 0)).isEmpty();
            assertThat(catalog.apply(List.of(item("s2", READY, 4, 4)), 0)).hasSize(1);
            assertThat(catalog.version()).isEqualTo(new StoreVersion(4, 4));
        }
    }

    @Nested
    class WhatTheCopyLacks {
        /** Guards against servers that only the lost revisions knew, which would stay for good. */
        @Test
        void shouldRemoveAServerAfterTheGracePeriod() {
            list(2, 20, item("configuration", "6", 2, 14));

            assertThat(catalog.servers()).containsKey(SERVER);
            assertThat(catalog.applyDeferredRemovals(Catalog.REPUBLISH_GRACE_MS))
                    .hasSize(1);
            assertThat(catalog.servers()).isEmpty();
        }

        @Test
        void shouldKeepAServerThatIsPublishedAgain() {
            list(2, 20);
            catalog.apply(List.of(item("s1", DRAINING, 2, 21)), 1_000);

            assertThat(catalog.applyDeferredRemovals(Catalog.REPUBLISH_GRACE_MS))
                    .isEmpty();
            assertThat(catalog.servers()).containsKey(SERVER);
        }

        /** Guards against requests to a zone whose evacuation was acknowledged and lost. */
        @Test
        void shouldKeepAnEvacuationLongerThanServers() {
            catalog.apply(List.of(item("north-a", "{}", 1, 31)), 0);
            list(2, 20, item("s1", READY, 2, 12));

            assertThat(catalog.applyDeferredRemovals(Catalog.EVACUATION_GRACE_MS - 1))
                    .isEmpty();
            assertThat(catalog.isEvacuated(ZONE)).isTrue();
            assertThat(catalog.applyDeferredRemovals(Catalog.EVACUATION_GRACE_MS))
                    .hasSize(1);
            assertThat(catalog.isEvacuated(ZONE)).isFalse();
        }

        @Test
        void shouldKeepAnEvacuationThatIsRequestedAgain() {
            catalog.apply(List.of(item("north-a", "{}", 1, 31)), 0);
            list(2, 20);
            catalog.apply(List.of(item("north-a", "{}", 2, 21)), 1_000);

            catalog.applyDeferredRemovals(Catalog.EVACUATION_GRACE_MS);

            assertThat(catalog.isEvacuated(ZONE)).isTrue();
        }

        @Test
        void shouldEndAnEvacuationThatIsWithdrawnAtOnce() {
            catalog.apply(List.of(item("north-a", "{}", 1, 31)), 0);
            list(2, 20);

            catalog.apply(List.of(item("north-a", null, 2, 21)), 0);

            assertThat(catalog.isEvacuated(ZONE)).isFalse();
        }
    }

    @Nested
    class WhatTheCopyHasInAnEarlierForm {
        @Test
        void shouldKeepTheConfiguration() {
            assertThat(list(2, 20, item("s1", READY, 2, 12), item("configuration", "6", 2, 14)))
                    .isEmpty();
            assertThat(catalog.configuration()).map(Configuration::version).hasValue(7L);
        }

        /** Guards against new requests to a server that has said that it leaves. */
        @Test
        void shouldKeepALeavingServerLeaving() {
            catalog.apply(List.of(item("s1", DRAINING, 1, 31)), 0);

            assertThat(list(2, 20, item("s1", READY, 2, 12))).isEmpty();
            assertThat(catalog.servers().get(SERVER).draining()).isTrue();
        }

        @Test
        void shouldKeepARemovedServerRemovedUntilItPublishesItself() {
            catalog.apply(List.of(item("s1", null, 1, 31)), 0);

            assertThat(list(2, 20, item("s1", READY, 2, 12))).isEmpty();
            assertThat(catalog.servers()).isEmpty();
            assertThat(catalog.apply(List.of(item("s1", DRAINING, 2, 21)), 0)).hasSize(1);
        }

        @Test
        void shouldAcceptAnotherProcessOfAServer() {
            assertThat(list(2, 20, item("s1", "ready 200 1", 2, 19))).hasSize(1);
            assertThat(catalog.servers().get(SERVER).startedMs()).hasValue(200);
        }

        /** Guards against instances that learn the earlier form from one that knows better. */
        @Test
        void shouldPassOnWhatIsKept() {
            catalog.apply(List.of(item("s1", DRAINING, 1, 31)), 0);
            list(2, 20, item("s1", READY, 2, 12), item("configuration", "6", 2, 14));

            assertThat(catalog.changesAfter(new StoreVersion(1, 31)))
                    .containsExactlyInAnyOrder(item("s1", DRAINING, 2, 12), item("configuration", "7", 2, 14));
        }
    }

    @Nested
    class OtherInstances {
        /** Guards against an instance that has not noticed the new era and brings the old one back. */
        @Test
        void shouldIgnoreChangesOfAnEarlierEra() {
            list(2, 20, item("s1", READY, 2, 12));

            assertThat(catalog.apply(List.of(item("s2", READY, 1, 40)), 0)).isEmpty();
            assertThat(list(1, 41, item("s2", READY, 1, 40))).isEmpty();
            assertThat(catalog.ignoredItems()).isEqualTo(2);
        }

        /** Guards against a part of a new era that is taken for all of it. */
        @Test
        void shouldNotBeginAnEraWithAPartOfIt() {
            assertThat(catalog.apply(List.of(item("s2", READY, 2, 21)), 0)).isEmpty();
            assertThat(catalog.version()).isEqualTo(new StoreVersion(1, 30));
        }

        @Test
        void shouldKnowRemovalsFromTheStartOfTheEra() {
            list(2, 20);

            assertThat(catalog.historyFrom()).isEqualTo(new StoreVersion(2, 20));
        }
    }
}
