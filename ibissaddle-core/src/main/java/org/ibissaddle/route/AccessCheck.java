package org.ibissaddle.route;

import java.util.Optional;

/** Decides whether a request may be served, and under which rule. */
public final class AccessCheck {
    private AccessCheck() {}

    /**
     * Checks a request against a configuration. A forwarded request whose workspace is unknown here is unavailable
     * rather than unauthorized, because the configuration of the instance that forwarded it may be newer.
     *
     * @param configuration the configuration in force
     * @param route the matched route
     * @param credentials what the request says about its caller
     * @param confirmed whether the configuration is recent enough to decide on keys
     * @return the decision
     */
    public static Access check(Configuration configuration, Route route, Credentials credentials, boolean confirmed) {
        boolean needsKey = configuration.hasWorkspaces() && !route.isPublic();
        if (!needsKey) {
            return credentials.forwarded() && credentials.workspace().isPresent()
                    ? new Access.Unavailable("the route needs no API key in the configuration of this instance")
                    : new Access.Granted(route, Optional.empty(), configuration.hasWorkspaces());
        }
        if (!confirmed) {
            return new Access.Unavailable("the configuration has not been confirmed recently");
        }
        if (credentials.apiKey().isEmpty()) {
            return unknown(credentials, "the request has no API key");
        }
        Optional<WorkspaceSpec> found =
                configuration.workspaceOf(credentials.apiKey().get());
        if (found.isEmpty()) {
            return unknown(credentials, "the API key is unknown");
        }
        WorkspaceSpec workspace = found.get();
        boolean agreed = !credentials.forwarded()
                || credentials.workspace().map(workspace.id().name()::equals).orElse(true);
        if (!agreed) {
            return new Access.Unavailable(
                    "the API key belongs to another workspace in the configuration of this instance");
        }
        return route.forWorkspace(workspace)
                .<Access>map(rule -> new Access.Granted(rule, found, true))
                .orElseGet(() -> new Access.Unavailable("route " + route.name() + " and workspace " + workspace.id()
                        + " have no home region in common"));
    }

    private static Access unknown(Credentials credentials, String reason) {
        return credentials.forwarded() ? new Access.Unavailable(reason) : new Access.Unauthorized(reason);
    }
}
