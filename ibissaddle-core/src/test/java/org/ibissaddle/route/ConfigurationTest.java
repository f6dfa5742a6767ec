package org.ibissaddle.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationTest {
    private static Route route(String name, String prefix, RequestKind kind, boolean resumable) {
        return new Route(
                name,
                "Shop.example",
                prefix,
                kind,
                1_000,
                300,
                0,
                List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
                2,
                resumable,
                Set.of(new Region("north")),
                false);
    }

    private final Configuration configuration = new Configuration(
            7,
            List.of(
                    route("short", "/lots/", RequestKind.IDEMPOTENT, false),
                    route("long", "/lots/old/", RequestKind.NON_IDEMPOTENT, false)),
            List.of(),
            CallerLimits.DEFAULT);

    @Nested
    class Routes {
        @Test
        void shouldPreferTheLongestPrefix() {
            assertThat(configuration.route("shop.example:80", "/lots/old/7"))
                    .map(Route::name)
                    .hasValue("long");
            assertThat(configuration.route("SHOP.EXAMPLE", "/lots/7"))
                    .map(Route::name)
                    .hasValue("short");
        }

        @Test
        void shouldNotMatchAnotherHostOrPath() {
            assertThat(configuration.route("other.example", "/lots/7")).isEmpty();
            assertThat(configuration.route("shop.example", "/lot")).isEmpty();
        }

        @Test
        void shouldAllowOnlyHomeRegions() {
            Route regional = configuration.route("shop.example", "/lots/").orElseThrow();

            assertThat(regional.allows(new Region("north"))).isTrue();
            assertThat(regional.allows(new Region("south"))).isFalse();
        }
    }

    @Nested
    class Retries {
        @Test
        void shouldRetryStreamsOnlyIfResumable() {
            assertThat(route("r", "/", RequestKind.STREAMING, false).isRetryable())
                    .isFalse();
            assertThat(route("r", "/", RequestKind.STREAMING, true).isRetryable())
                    .isTrue();
            assertThat(route("r", "/", RequestKind.NON_IDEMPOTENT, true).isRetryable())
                    .isFalse();
        }
    }

    @Nested
    class WeightedServices {
        @Test
        void shouldSelectServicesByWeightAndConsistentlyForTheSameRequest() {
            Route weighted = route("r", "/", RequestKind.IDEMPOTENT, false);
            int toA = 0;
            for (int i = 0; i < 10_000; i++) {
                String id = "request-" + i;
                assertThat(weighted.serviceFor(id)).isEqualTo(weighted.serviceFor(id));
                toA += weighted.serviceFor(id).equals("a") ? 1 : 0;
            }
            assertThat(toA).isBetween(8_800, 9_200);
        }
    }

    @Nested
    class Workspaces {
        private final WorkspaceSpec yards = workspace("yards", "key-1", OptionalInt.of(3), "north");

        private static WorkspaceSpec workspace(String name, String key, OptionalInt priority, String... homes) {
            Set<Region> regions = Stream.of(homes).map(Region::new).collect(Collectors.toSet());
            return new WorkspaceSpec(new WorkspaceId(name), Set.of(key), priority, regions, Quota.UNLIMITED);
        }

        @Test
        void shouldFindTheWorkspaceOfAKey() {
            Configuration keyed = new Configuration(1, List.of(), List.of(), CallerLimits.DEFAULT, List.of(yards));

            assertThat(keyed.hasWorkspaces()).isTrue();
            assertThat(keyed.workspaceOf("key-1")).contains(yards);
            assertThat(keyed.workspaceOf("KEY-1")).isEmpty();
            assertThat(configuration.hasWorkspaces()).isFalse();
        }

        /** Guards against a directory that names only the homes of routes although workspaces are bound to others. */
        @Test
        void shouldListTheRulesOfAHostOnceForEachSetOfHomes() {
            Route shop = new Route(
                    "r",
                    "shop.example",
                    "/",
                    RequestKind.IDEMPOTENT,
                    1_000,
                    100,
                    0,
                    List.of(),
                    1,
                    false,
                    Set.of(),
                    false);
            List<WorkspaceSpec> workspaces = List.of(
                    yards,
                    workspace("b", "k", OptionalInt.empty(), "north"),
                    workspace("c", "l", OptionalInt.empty(), "south"));
            Configuration keyed = new Configuration(1, List.of(shop), List.of(), CallerLimits.DEFAULT, workspaces);

            assertThat(keyed.rulesOf(shop.host()))
                    .extracting(Route::homeRegions)
                    .containsExactly(Set.of(new Region("north")), Set.of(new Region("south")));
        }

        @Test
        void shouldNotPrintKeys() {
            assertThat(yards.toString()).doesNotContain("key-1");
        }

        @Test
        void shouldReplaceThePriorityOfTheRoute() {
            Route shop = route("r", "/", RequestKind.IDEMPOTENT, false);

            assertThat(shop.forWorkspace(yards)).map(Route::priority).hasValue(3);
            assertThat(shop.forWorkspace(workspace("b", "k", OptionalInt.empty())))
                    .map(Route::priority)
                    .hasValue(0);
        }

        @Test
        void shouldAllowOnlyRegionsThatRouteAndWorkspaceAllow() {
            Route shop = route("r", "/", RequestKind.IDEMPOTENT, false);

            assertThat(shop.forWorkspace(workspace("b", "k", OptionalInt.empty(), "south", "north")))
                    .map(Route::homeRegions)
                    .hasValue(Set.of(new Region("north")));
            assertThat(shop.forWorkspace(workspace("c", "k", OptionalInt.empty(), "south")))
                    .isEmpty();
        }

        @Test
        void shouldCountRequestsWithoutTokensAtTheirFixedCost() {
            Quota tokens = new Quota(QuotaUnit.TOKENS, 1_000, 1_000, 200);

            assertThat(tokens.cost(new RequestDemand("m", 300, 50, List.of()))).isEqualTo(350);
            assertThat(tokens.cost(RequestDemand.PLAIN)).isEqualTo(200);
            assertThat(new Quota(QuotaUnit.REQUESTS, 5, 5, 200).cost(new RequestDemand("m", 300, 50, List.of())))
                    .isEqualTo(1);
        }
    }
}
