package org.ibissaddle.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AccessCheckTest {
    private static final Route ROUTE = route(false);
    private static final WorkspaceSpec YARDS = workspace("yards", "key-yards", Set.of(new Region("north")));
    private static final WorkspaceSpec FAR = workspace("far", "key-far", Set.of(new Region("east")));
    private static final Configuration KEYED =
            new Configuration(3, List.of(), List.of(), CallerLimits.DEFAULT, List.of(YARDS, FAR));
    private static final Configuration KEYLESS = new Configuration(2, List.of(), List.of(), CallerLimits.DEFAULT);

    private static Route route(boolean isPublic) {
        return new Route(
                "any",
                "h.example",
                "/",
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                4,
                List.of(new WeightedService("ledger", 1)),
                2,
                false,
                Set.of(new Region("north"), new Region("south")),
                isPublic);
    }

    private static WorkspaceSpec workspace(String name, String key, Set<Region> homes) {
        return new WorkspaceSpec(new WorkspaceId(name), Set.of(key), OptionalInt.of(1), homes, Quota.UNLIMITED);
    }

    private static Credentials fromCaller(String key) {
        return new Credentials(Optional.of(key), false, Optional.empty());
    }

    private static Credentials fromInstance(String key, String workspace) {
        return new Credentials(Optional.of(key), true, Optional.of(workspace));
    }

    private static Access check(Configuration configuration, Credentials credentials) {
        return AccessCheck.check(configuration, ROUTE, credentials, true);
    }

    @Test
    void shouldApplyThePriorityAndTheHomesOfTheWorkspace() {
        assertThat(check(KEYED, fromCaller("key-yards"))).isInstanceOfSatisfying(Access.Granted.class, granted -> {
            assertThat(granted.workspace()).contains(YARDS);
            assertThat(granted.route().priority()).isEqualTo(1);
            assertThat(granted.route().homeRegions()).containsExactly(new Region("north"));
        });
    }

    @Test
    void shouldNotAuthorizeAnUnknownOrMissingKey() {
        assertThat(check(KEYED, fromCaller("KEY-YARDS"))).isInstanceOf(Access.Unauthorized.class);
        assertThat(check(KEYED, new Credentials(Optional.empty(), false, Optional.empty())))
                .isInstanceOf(Access.Unauthorized.class);
    }

    @Test
    void shouldNeedNoKeyOnAPublicRouteOrWithoutWorkspaces() {
        assertThat(AccessCheck.check(KEYED, route(true), fromCaller("other"), false))
                .isEqualTo(new Access.Granted(route(true), Optional.empty(), true));
        assertThat(AccessCheck.check(KEYLESS, ROUTE, fromCaller("other"), false))
                .isEqualTo(new Access.Granted(ROUTE, Optional.empty(), false));
    }

    @Test
    void shouldRefuseAWorkspaceWithoutACommonHome() {
        assertThat(check(KEYED, fromCaller("key-far"))).isInstanceOf(Access.Unavailable.class);
    }

    /** Guards against a revoked key that is served by an instance that has not heard of the revocation. */
    @Test
    void shouldRefuseKeysWhileTheConfigurationIsUnconfirmed() {
        assertThat(AccessCheck.check(KEYED, ROUTE, fromCaller("key-yards"), false))
                .isInstanceOf(Access.Unavailable.class);
    }

    /** Guards against a caller that imitates the header of another instance. */
    @Test
    void shouldIgnoreTheWorkspaceNamedByACaller() {
        Credentials forged = new Credentials(Optional.of("key-yards"), false, Optional.of("far"));

        assertThat(check(KEYED, forged)).isInstanceOf(Access.Granted.class);
    }

    @Nested
    class OlderConfiguration {
        /** Guards against a 401 for a key that the forwarding instance knows already. */
        @Test
        void shouldLetTheSenderTryElsewhereWhenTheKeyIsUnknown() {
            assertThat(check(KEYED, fromInstance("key-new", "yards"))).isInstanceOf(Access.Unavailable.class);
        }

        /** Guards against a server that gets the key from an instance whose configuration has no workspaces yet. */
        @Test
        void shouldRefuseAWorkspaceWhenTheConfigurationHasNone() {
            assertThat(check(KEYLESS, fromInstance("key-yards", "yards"))).isInstanceOf(Access.Unavailable.class);
        }

        @Test
        void shouldRefuseAKeyThatNamesAnotherWorkspaceHere() {
            assertThat(check(KEYED, fromInstance("key-yards", "docks"))).isInstanceOf(Access.Unavailable.class);
        }
    }
}
