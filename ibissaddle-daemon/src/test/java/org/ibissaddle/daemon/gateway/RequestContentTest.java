package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Access;
import org.ibissaddle.route.Quota;
import org.ibissaddle.route.RequestKind;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.WorkspaceSpec;
import org.junit.jupiter.api.Test;

class RequestContentTest {
    private static final Route ROUTE = new Route(
            "any", "h.example", "/", RequestKind.IDEMPOTENT, 1_000, 100, 0, List.of(), 1, false, Set.of(), false);
    private static final Optional<WorkspaceSpec> YARDS = workspace("yards");

    private static Optional<WorkspaceSpec> workspace(String name) {
        Set<Region> homes = Set.of(new Region("north"));
        return Optional.of(
                new WorkspaceSpec(new WorkspaceId(name), Set.of(), OptionalInt.empty(), homes, Quota.UNLIMITED));
    }

    private static RequestContent content(String key, Optional<WorkspaceSpec> workspace, boolean keyed) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Authorization", "Token " + key);
        IncomingRequest request =
                new IncomingRequest(HttpMethod.GET, "/7", headers, Unpooled.EMPTY_BUFFER, false, false, 0);
        Route rule = workspace.flatMap(ROUTE::forWorkspace).orElse(ROUTE);
        return new RequestContent(request, RequestDemand.PLAIN, () -> new Access.Granted(rule, workspace, keyed));
    }

    private static String fingerprint(String key, Optional<WorkspaceSpec> workspace, boolean keyed) {
        return content(key, workspace, keyed).fingerprint();
    }

    /** Guards against a key that other instances could guess from a fingerprint. */
    @Test
    void shouldDependOnTheWorkspaceInPlaceOfTheKey() {
        assertThat(fingerprint("a", YARDS, true))
                .isEqualTo(fingerprint("b", YARDS, true))
                .isNotEqualTo(fingerprint("a", workspace("docks"), true));
        assertThat(fingerprint("a", Optional.empty(), true)).isEqualTo(fingerprint("b", Optional.empty(), true));
    }

    @Test
    void shouldDependOnTheCredentialsWithoutWorkspaces() {
        assertThat(fingerprint("a", Optional.empty(), false)).isNotEqualTo(fingerprint("b", Optional.empty(), false));
    }

    /** Guards against crashes and prompt parts of a workspace that other regions than its homes are told of. */
    @Test
    void shouldBeBoundToTheHomesOfTheWorkspace() {
        assertThat(content("a", YARDS, true).homes()).containsExactly(new Region("north"));
    }
}
