package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.ibissaddle.route.Access;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.WorkspaceSpec;

/**
 * The access of one request: its workspace and the rule that applies to it. The API key is checked again before each
 * attempt, since it may have been revoked. Confined to the event loop.
 */
final class RequestAccess {
    private final GatewayCore core;
    private final IncomingRequest request;
    private final Route matchedRoute;
    private Optional<Access.Granted> granted = Optional.empty();

    RequestAccess(GatewayCore core, IncomingRequest request, Route matchedRoute) {
        this.core = core;
        this.request = request;
        this.matchedRoute = matchedRoute;
    }

    /** Returns why the request must not be sent, empty if it may be; then the homes and priority in force apply. */
    Optional<GatewayCore.HeadError> check() {
        return switch (current()) {
            case Access.Granted next -> {
                if (granted.isPresent() && !namesSameWorkspace(next)) {
                    yield Optional.of(new GatewayCore.HeadError(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "the API key names another workspace than when the request arrived"));
                }
                granted = Optional.of(next);
                yield Optional.empty();
            }
            case Access.Unauthorized unauthorized ->
                Optional.of(new GatewayCore.HeadError(HttpResponseStatus.UNAUTHORIZED, unauthorized.reason()));
            case Access.Unavailable unavailable ->
                Optional.of(new GatewayCore.HeadError(HttpResponseStatus.SERVICE_UNAVAILABLE, unavailable.reason()));
        };
    }

    /** Whether {@link #check} would let the request be sent. */
    boolean isHeld() {
        return current() instanceof Access.Granted next && namesSameWorkspace(next);
    }

    /** Returns the latest grant; called only after a successful {@link #check}. */
    Access.Granted granted() {
        return granted.orElseThrow();
    }

    /** Returns the matched route; with the priority and the homes of the workspace once access is granted. */
    Route route() {
        return granted.map(Access.Granted::route).orElse(matchedRoute);
    }

    /** Returns the workspace, empty if the route is public or the configuration has no workspaces. */
    Optional<WorkspaceSpec> workspace() {
        return granted.flatMap(Access.Granted::workspace);
    }

    /** Whether the configuration has workspaces. */
    boolean isKeyed() {
        return granted.map(Access.Granted::keyed).orElse(false);
    }

    HttpHeaders headersForServer() {
        return isKeyed() ? RequestHeaders.forServer(request, workspace()) : RequestHeaders.forRequest(request);
    }

    HttpHeaders headersForInstance() {
        return isKeyed() ? RequestHeaders.forInstance(request, workspace()) : RequestHeaders.forRequest(request);
    }

    private Access current() {
        return core.access(matchedRoute, request.headers(), request.forwarded());
    }

    private boolean namesSameWorkspace(Access.Granted next) {
        return next.keyed() == isKeyed()
                && next.workspace().map(WorkspaceSpec::id).equals(workspace().map(WorkspaceSpec::id));
    }
}
