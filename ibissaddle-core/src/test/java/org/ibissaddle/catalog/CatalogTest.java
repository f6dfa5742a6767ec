package org.ibissaddle.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CatalogTest {
    private static final ServerId SERVER = new ServerId("s1");

    private final Catalog catalog = new Catalog(CatalogTest::decode);

    /** Decodes the keys "server", "configuration" (the value is its version) and "evacuation". */
    private static CatalogEvent decode(CatalogItem item) {
        return switch (item.key()) {
            case "server" ->
                item.isRemoved()
                        ? new CatalogEvent.ServerRemoved(SERVER)
                        : new CatalogEvent.ServerPublished(new ServerEntry(
                                SERVER,
                                "svc",
                                Address.parse("10.0.0.1:80"),
                                new Zone("north-a"),
                                6,
                                item.value().equals("draining"),
                                0,
                                OptionalLong.empty(),
                                OptionalLong.empty()));
            case "configuration" ->
                new CatalogEvent.ConfigurationPublished(
                        new Configuration(Long.parseLong(item.value()), List.of(), List.of(), CallerLimits.DEFAULT));
            default ->
                item.isRemoved()
                        ? new CatalogEvent.EvacuationWithdrawn(new Zone("north-a"))
                        : new CatalogEvent.EvacuationRequested(new Zone("north-a"));
        };
    }

    private static StoreVersion at(long revision) {
        return new StoreVersion(0, revision);
    }

    private static CatalogItem item(String key, String value, long revision) {
        return new CatalogItem(key, value, at(revision));
    }

    @Nested
    class Revisions {
        @Test
        void shouldNotLetAnOlderRevisionReplaceANewerOne() {
            catalog.apply(List.of(item("server", "draining", 9)), 0);

            assertThat(catalog.apply(List.of(item("server", "ready", 8)), 0)).isEmpty();
            assertThat(catalog.servers().get(SERVER).draining()).isTrue();
        }

        @Test
        void shouldNotReplaceAConfigurationByALowerVersion() {
            catalog.apply(List.of(item("configuration", "5", 3)), 0);

            assertThat(catalog.apply(List.of(item("configuration", "4", 7)), 0)).isEmpty();
            assertThat(catalog.configuration()).map(Configuration::version).hasValue(5L);
        }

        @Test
        void shouldNotRestoreARemovedServerFromAnOlderRevision() {
            catalog.apply(List.of(item("server", "ready", 3), item("server", null, 5)), 0);

            catalog.apply(List.of(item("server", "ready", 4)), 0);

            assertThat(catalog.servers()).isEmpty();
        }
    }

    @Nested
    class FullListings {
        @Test
        void shouldRemoveKeysMissingFromAFullListing() {
            catalog.apply(List.of(item("server", "ready", 3), item("evacuation", "{}", 4)), 0);

            catalog.applySnapshot(List.of(item("evacuation", "{}", 4)), at(10), 0);

            assertThat(catalog.servers()).isEmpty();
            assertThat(catalog.isEvacuated(new Zone("north-a"))).isTrue();
        }

        /** Guards against a late message that brings back what was removed before the instance started. */
        @Test
        void shouldIgnoreEntriesThatWereRemovedBeforeTheListing() {
            catalog.applySnapshot(List.of(item("evacuation", "{}", 4)), at(10), 0);

            assertThat(catalog.apply(List.of(item("server", "ready", 9)), 0)).isEmpty();
            assertThat(catalog.apply(List.of(item("server", "ready", 11)), 0)).hasSize(1);
        }

        @Test
        void shouldKeepKeysNewerThanTheListing() {
            catalog.apply(List.of(item("server", "ready", 12)), 0);

            catalog.applySnapshot(List.of(), at(10), 0);

            assertThat(catalog.servers()).containsKey(SERVER);
        }
    }

    @Nested
    class Outages {
        @Test
        void shouldKeepAServerWithAnExpiredEntryUntilTheGracePeriodEnds() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);
            catalog.startGracePeriod(1_000);

            catalog.apply(List.of(item("server", null, 5)), 1_100);
            assertThat(catalog.servers()).containsKey(SERVER);
            assertThat(catalog.applyDeferredRemovals(2_000)).isEmpty();

            assertThat(catalog.applyDeferredRemovals(1_000 + Catalog.REPUBLISH_GRACE_MS))
                    .hasSize(1);
            assertThat(catalog.servers()).isEmpty();
        }

        @Test
        void shouldKeepAServerThatIsPublishedAgainWithinTheGracePeriod() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);
            catalog.startGracePeriod(1_000);
            catalog.apply(List.of(item("server", null, 5), item("server", "ready", 6)), 1_100);

            assertThat(catalog.applyDeferredRemovals(9_000)).isEmpty();
            assertThat(catalog.servers()).containsKey(SERVER);
        }

        /** Guards against a late message that brings a removed server back within the grace period. */
        @Test
        void shouldNotCancelARemovalForAnEarlierEntry() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);
            catalog.startGracePeriod(1_000);
            catalog.apply(List.of(item("server", null, 5)), 1_100);

            catalog.apply(List.of(item("server", "ready", 4)), 1_200);

            assertThat(catalog.applyDeferredRemovals(9_000)).hasSize(1);
        }

        @Test
        void shouldRemoveAServerImmediatelyOutsideTheGracePeriod() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);

            assertThat(catalog.apply(List.of(item("server", null, 5)), 50_000)).hasSize(1);
            assertThat(catalog.servers()).isEmpty();
        }
    }

    /** Covers instances that are told of changes by an instance that reads the platform. */
    @Nested
    class Followers {
        // A follower would miss the removal for good, because its revision is below that of later changes.
        @Test
        void shouldPassOnRemovalsThatAreDeferred() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);
            catalog.startGracePeriod(1_000);
            catalog.apply(List.of(item("server", null, 5)), 1_100);

            assertThat(catalog.changesAfter(at(3))).containsExactly(item("server", null, 5));
            assertThat(catalog.graceLeftMs(1_100)).isEqualTo(Catalog.REPUBLISH_GRACE_MS - 100);
        }

        // A follower has not noticed the outage itself, and would remove servers that publish themselves again.
        @Test
        void shouldDeferRemovalsForTheGracePeriodOfTheReader() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);
            catalog.extendGracePeriod(900, 1_100);
            catalog.apply(List.of(item("server", null, 5)), 1_100);

            assertThat(catalog.applyDeferredRemovals(1_999)).isEmpty();
            assertThat(catalog.applyDeferredRemovals(2_000)).hasSize(1);
        }

        // The transit time of each message would extend a grace period that instances tell each other, without end.
        @Test
        void shouldNotReportTheGracePeriodOfAnotherInstance() {
            catalog.extendGracePeriod(900, 1_100);

            assertThat(catalog.graceLeftMs(1_100)).isZero();
        }

        // A reader that has just started doesn't know what was removed before, and must not be taken as complete.
        @Test
        void shouldReportFromWhichRevisionRemovalsAreKnown() {
            catalog.apply(List.of(item("server", "ready", 3)), 0);
            assertThat(catalog.historyFrom()).isEqualTo(StoreVersion.MAX);

            catalog.applySnapshot(List.of(item("server", "ready", 3)), at(9), 0);
            catalog.applySnapshot(List.of(), at(12), 0);

            assertThat(catalog.historyFrom()).isEqualTo(at(9));
            assertThat(catalog.changesAfter(at(9))).containsExactly(item("server", null, 12));
        }
    }
}
