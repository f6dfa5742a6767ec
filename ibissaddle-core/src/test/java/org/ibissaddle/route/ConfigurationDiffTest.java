package org.ibissaddle.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredRoute;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredWorkspace;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationDiffTest {
    private static final ServiceSpec MODELS = new ServiceSpec("models", "/", 6, 0, 0, Optional.empty());

    private static DeclaredRoute route(String name, String service, String home) {
        return new DeclaredRoute(
                new Route(
                        name,
                        "api",
                        "/" + name + "/",
                        RequestKind.IDEMPOTENT,
                        1_000,
                        500,
                        0,
                        List.of(new WeightedService(service, 1)),
                        2,
                        false,
                        Set.of(new Region(home)),
                        false),
                true);
    }

    private static DeclaredWorkspace workspace(String name, long perSecond, String home, String... keyHashes) {
        Quota quota = new Quota(QuotaUnit.TOKENS, perSecond, 500, 0);
        WorkspaceSpec spec = new WorkspaceSpec(
                new WorkspaceId(name), Set.of(), OptionalInt.empty(), Set.of(new Region(home)), quota);
        return new DeclaredWorkspace(spec, List.of(keyHashes));
    }

    private static DeclaredConfiguration routes(DeclaredRoute... routes) {
        return new DeclaredConfiguration(1, List.of(routes), List.of(MODELS), CallerLimits.DEFAULT, List.of());
    }

    private static DeclaredConfiguration workspaces(DeclaredWorkspace... workspaces) {
        return new DeclaredConfiguration(1, List.of(), List.of(MODELS), CallerLimits.DEFAULT, List.of(workspaces));
    }

    private static List<String> diff(DeclaredConfiguration before, DeclaredConfiguration after) {
        return ConfigurationDiff.between(before, after).stream()
                .map(ConfigurationChange::line)
                .toList();
    }

    @Test
    void shouldFindNoChangeBetweenEqualConfigurations() {
        DeclaredConfiguration same = new DeclaredConfiguration(
                1,
                List.of(route("r", "models", "north"), route("r", "models", "south")),
                List.of(MODELS),
                CallerLimits.DEFAULT,
                List.of(workspace("a", 5, "north", "h")));

        assertThat(diff(same, same)).isEmpty();
    }

    @Nested
    class RoutesAndServices {
        @Test
        void shouldNameAddedRemovedAndMovedRoutes() {
            assertThat(diff(
                            routes(route("gone", "models", "north"), route("moved", "models", "north")),
                            routes(route("moved", "spare", "south"), route("new", "models", "north"))))
                    .satisfiesExactly(
                            moved -> assertThat(moved)
                                    .startsWith("changed route \"moved\": services models=1.0 -> spare=1.0,"
                                            + " home regions north -> south")
                                    .contains("new requests go to other services")
                                    .contains("served in other regions"),
                            added -> assertThat(added).startsWith("added route \"new\""),
                            removed -> assertThat(removed)
                                    .startsWith("removed route \"gone\" (running requests end as before"));
        }

        @Test
        void shouldNameChangedLimitsAndServicesThatRoutesStillUse() {
            DeclaredConfiguration after = new DeclaredConfiguration(
                    2,
                    List.of(route("r", "models", "north")),
                    List.of(),
                    new CallerLimits(1, 4 * 1024 * 1024, 3_000, 15_000),
                    List.of());

            assertThat(diff(routes(route("r", "models", "north")), after))
                    .containsExactly(
                            "changed limits: header bytes 16384 -> 1 (applies to requests that arrive from now on)",
                            "removed service \"models\" (still used by route \"r\")");
        }
    }

    @Nested
    class Workspaces {
        @Test
        void shouldNameRevokedAndMovedKeysByPositionOnly() {
            assertThat(diff(
                            workspaces(workspace("a", 5, "north", "h0", "h1", "h2"), workspace("b", 5, "north", "h3")),
                            workspaces(workspace("a", 5, "north", "h0"), workspace("b", 5, "north", "h2", "h3"))))
                    .satisfiesExactly(
                            a -> assertThat(a)
                                    .startsWith("changed workspace \"a\": keys[1] revoked,"
                                            + " keys[2] moved to workspace \"b\"")
                                    .contains("waiting requests with a revoked key are rejected")
                                    .doesNotContain("h1"),
                            b -> assertThat(b).startsWith("changed workspace \"b\": new keys[0]"));
        }

        /** A quota that replaces none is a lower one, although its rate is above the 0 that stands for no limit. */
        @Test
        void shouldTellLoweredFromRaisedQuotas() {
            DeclaredConfiguration limited = workspaces(workspace("a", 50, "north", "h"));
            DeclaredConfiguration lower = workspaces(workspace("a", 40, "north", "h"));
            DeclaredConfiguration unlimited = workspaces(workspace("a", 0, "north", "h"));

            assertThat(diff(limited, lower))
                    .containsExactly("changed workspace \"a\": rate per second 50 -> 40"
                            + " (the quota is lowered: requests above it get 429)");
            assertThat(diff(unlimited, limited).getFirst()).contains("is lowered");
            assertThat(diff(lower, limited).getFirst()).doesNotContain("is lowered");
            assertThat(diff(limited, unlimited).getFirst()).doesNotContain("is lowered");
        }

        @Test
        void shouldNameNewHomesAndRemovedWorkspaces() {
            assertThat(diff(
                            workspaces(workspace("a", 5, "north", "h0"), workspace("b", 5, "north", "h1")),
                            workspaces(workspace("a", 5, "south", "h0"))))
                    .satisfiesExactly(
                            a -> assertThat(a)
                                    .startsWith("changed workspace \"a\": home regions north -> south"
                                            + " (waiting and new requests are served in the new home regions only"),
                            b -> assertThat(b).startsWith("removed workspace \"b\": keys[0] revoked"));
        }

        /** Without workspaces requests need no key, so removing the last one revokes nothing. */
        @Test
        void shouldSayWhetherKeysAreNeededAtAll() {
            DeclaredConfiguration with = workspaces(workspace("a", 5, "north", "h"));

            assertThat(diff(workspaces(), with).getFirst())
                    .startsWith("changed access (requests without a key are rejected");
            assertThat(diff(with, workspaces()))
                    .containsExactly(
                            "changed access (requests need no key any more)",
                            "removed workspace \"a\" (its keys are not needed any more)");
        }
    }
}
