package org.ibissaddle.route;

import java.util.List;

/**
 * A configuration as the operator has written it. Unlike {@link Configuration} it keeps the order of all entries and
 * duplicates, so that findings can name their place.
 *
 * @param version version number; higher is newer
 * @param routes all routes
 * @param services all services
 * @param limits limits for callers
 * @param workspaces all workspaces
 */
public record DeclaredConfiguration(
        long version,
        List<DeclaredRoute> routes,
        List<ServiceSpec> services,
        CallerLimits limits,
        List<DeclaredWorkspace> workspaces) {
    /** Makes defensive copies of the lists. */
    public DeclaredConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        workspaces = List.copyOf(workspaces);
    }

    /**
     * A route.
     *
     * @param route the route
     * @param hasObjective whether a latency objective is declared; otherwise the route has the default
     */
    public record DeclaredRoute(Route route, boolean hasObjective) {}

    /**
     * A workspace.
     *
     * @param spec the workspace
     * @param keyHashes hashes of its keys in the declared order, see {@link ApiKeyHash}
     */
    public record DeclaredWorkspace(WorkspaceSpec spec, List<String> keyHashes) {
        /** Makes a defensive copy of the hashes. */
        public DeclaredWorkspace {
            keyHashes = List.copyOf(keyHashes);
        }
    }
}
