package org.ibissaddle.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.ConfigurationCheck.Surroundings;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredRoute;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredWorkspace;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationCheckTest {
    private static final Region NORTH = new Region("north");
    private static final Region SOUTH = new Region("south");

    private static Route route(String name, String host, String prefix, Region home, boolean isPublic) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                1_000,
                1_000,
                0,
                List.of(new WeightedService("models", 1)),
                2,
                false,
                Set.of(home),
                isPublic);
    }

    private static ServiceSpec models(long kvTokens) {
        return new ServiceSpec("models", "/", 0, 0, 0, Optional.of(new EngineSpec(8, kvTokens, 1, 0, 0)));
    }

    private static DeclaredWorkspace workspace(String name, Region home, Quota quota, String... keyHashes) {
        WorkspaceSpec spec =
                new WorkspaceSpec(new WorkspaceId(name), Set.of(), OptionalInt.empty(), Set.of(home), quota);
        return new DeclaredWorkspace(spec, List.of(keyHashes));
    }

    private static DeclaredConfiguration routes(boolean hasObjective, Route... routes) {
        List<DeclaredRoute> declared = List.of(routes).stream()
                .map(route -> new DeclaredRoute(route, hasObjective))
                .toList();
        return new DeclaredConfiguration(1, declared, List.of(models(100)), CallerLimits.DEFAULT, List.of());
    }

    private static DeclaredConfiguration workspaces(Route route, long kvTokens, DeclaredWorkspace... workspaces) {
        return new DeclaredConfiguration(
                1,
                List.of(new DeclaredRoute(route, false)),
                List.of(models(kvTokens)),
                CallerLimits.DEFAULT,
                List.of(workspaces));
    }

    private static List<String> check(DeclaredConfiguration configuration, Surroundings surroundings) {
        return ConfigurationCheck.check(configuration, surroundings).stream()
                .map(ConfigurationFinding::line)
                .toList();
    }

    @Nested
    class Routes {
        /** Guards against reporting routes that are reached through the longest prefix or another host. */
        @Test
        void shouldAcceptNestedPrefixesAndOtherHosts() {
            DeclaredConfiguration configuration = routes(
                    false,
                    route("wide", "a", "/x/", NORTH, false),
                    route("narrow", "a", "/x/y/", NORTH, false),
                    route("other", "b", "/x/", NORTH, false));

            assertThat(check(configuration, Surroundings.UNKNOWN)).isEmpty();
        }

        /** Requests match hosts in any case, so two spellings of a host are the same. */
        @Test
        void shouldFindAHiddenRouteOfAnotherSpellingOfTheHost() {
            DeclaredConfiguration configuration = routes(
                    false, route("first", "api", "/x/", NORTH, false), route("second", "API", "/x/", NORTH, false));

            assertThat(check(configuration, Surroundings.UNKNOWN))
                    .containsExactly("error: routes[1] \"second\": gets no requests, as routes[0] \"first\""
                            + " has the same host and path prefix");
        }

        /** Routes without a name are told apart by their position; the missing name is no duplicate. */
        @Test
        void shouldAcceptSeveralRoutesWithoutAName() {
            assertThat(check(
                            routes(false, route("", "a", "/x/", NORTH, false), route("", "a", "/y/", NORTH, false)),
                            Surroundings.UNKNOWN))
                    .isEmpty();
        }

        /** Without a declared objective the route has a default, which is no promise that the timeout could break. */
        @Test
        void shouldCompareTheTimeoutOnlyWithADeclaredObjective() {
            Route route = route("r", "a", "/x/", NORTH, false);

            assertThat(check(routes(false, route), Surroundings.UNKNOWN)).isEmpty();
            assertThat(check(routes(true, route), Surroundings.UNKNOWN))
                    .containsExactly(
                            "error: routes[0] \"r\": the timeout of 1000 ms is not above the objective of 1000 ms");
        }
    }

    @Nested
    class Workspaces {
        @Test
        void shouldNotCompareTheHomesOfWorkspacesWithThoseOfPublicRoutes() {
            DeclaredWorkspace southern = workspace("w", SOUTH, Quota.UNLIMITED, "hash");

            assertThat(check(workspaces(route("r", "a", "/x/", NORTH, true), 1, southern), Surroundings.UNKNOWN))
                    .isEmpty();
            assertThat(check(workspaces(route("r", "a", "/x/", NORTH, false), 1, southern), Surroundings.UNKNOWN))
                    .containsExactly("warning: workspaces[0] \"w\": has no home region in common with routes[0] \"r\"");
        }

        @Test
        void shouldNameEveryHolderOfAKeyByItsPosition() {
            assertThat(check(
                            workspaces(
                                    route("r", "a", "/x/", NORTH, false),
                                    1,
                                    workspace("w", NORTH, Quota.UNLIMITED, "h1", "h2"),
                                    workspace("v", NORTH, Quota.UNLIMITED, "h3", "h2")),
                            Surroundings.UNKNOWN))
                    .containsExactly("error: workspaces[1] \"v\" keys[1]: the same key is held by workspaces[0] \"w\"");
        }
    }

    @Nested
    class Capacity {
        private final Route route = route("r", "a", "/x/", NORTH, false);

        private List<String> checkRate(long perSecond, long kvTokens, Map<String, Integer> servers) {
            Quota quota = new Quota(QuotaUnit.TOKENS, perSecond, 1_000, 0);
            return check(
                    workspaces(route, kvTokens, workspace("w", NORTH, quota, "h")),
                    new Surroundings(Set.of(), servers, OptionalLong.empty()));
        }

        @Test
        void shouldWarnOfQuotasOnlyAboveTheCapacityOfTheGivenServers() {
            assertThat(checkRate(3_000, 1_000, Map.of("models", 3))).isEmpty();
            assertThat(checkRate(3_001, 1_000, Map.of("models", 3)))
                    .containsExactly("warning: workspaces: the quotas sum up to 3001 tokens per second,"
                            + " but the given servers hold only 3000 tokens");
        }

        /** An unknown capacity counted as zero would cause a false warning. */
        @Test
        void shouldNotCompareQuotasWithAnUnknownCapacity() {
            assertThat(checkRate(3_001, 1_000, Map.of())).isEmpty();
            assertThat(checkRate(3_001, Long.MAX_VALUE, Map.of("models", 1))).isEmpty();
        }

        @Test
        void shouldWarnOfServersOfUndeclaredServices() {
            assertThat(checkRate(1, 1_000, Map.of("models", 1, "typo", 1)))
                    .containsExactly(
                            "warning: services: servers are given for the service \"typo\", which is not declared");
        }
    }
}
