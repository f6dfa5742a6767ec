package org.ibissaddle.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.ibissaddle.id.Region;

/** One version of the routes, services and limits declared by the operator. Immutable. */
public final class Configuration {
    private final long shortestObjectiveMs;
    private final long version;
    /** Routes by lower-case host, sorted by descending length of the path prefix. */
    private final Map<String, List<Route>> routesByHost;

    private final Map<String, ServiceSpec> services;
    private final CallerLimits limits;
    private final List<WorkspaceSpec> workspaces;
    private final Map<String, WorkspaceSpec> workspacesByKey;
    private final Map<String, WorkspaceSpec> workspacesByKeyHash;
    /** One workspace for each set of home regions that some workspace has. */
    private final List<WorkspaceSpec> workspacesWithDistinctHomes;

    /**
     * Creates a configuration without workspaces.
     *
     * @param version version number; higher is newer
     * @param routes all routes
     * @param services all services
     * @param limits limits for callers
     */
    public Configuration(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
        this(version, routes, services, limits, List.of());
    }

    /**
     * Creates a configuration.
     *
     * @param version version number; higher is newer
     * @param routes all routes
     * @param services all services
     * @param limits limits for callers
     * @param workspaces all workspaces; if there are none, requests need no API key
     */
    public Configuration(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            CallerLimits limits,
            List<WorkspaceSpec> workspaces) {
        this.version = version;
        this.limits = limits;
        this.workspaces = List.copyOf(workspaces);
        Map<String, WorkspaceSpec> specsByKey = new HashMap<>();
        workspaces.forEach(workspace -> workspace.apiKeys().forEach(key -> specsByKey.put(key, workspace)));
        this.workspacesByKey = Map.copyOf(specsByKey);
        Map<String, WorkspaceSpec> specsByHash = new HashMap<>();
        workspaces.forEach(workspace -> workspace.apiKeyHashes().forEach(hash -> specsByHash.put(hash, workspace)));
        this.workspacesByKeyHash = Map.copyOf(specsByHash);
        Map<Set<Region>, WorkspaceSpec> specsByHomes = new LinkedHashMap<>();
        workspaces.forEach(workspace -> specsByHomes.putIfAbsent(workspace.homeRegions(), workspace));
        this.workspacesWithDistinctHomes = List.copyOf(specsByHomes.values());
        this.shortestObjectiveMs =
                routes.stream().mapToLong(Route::targetLatencyMs).min().orElse(Long.MAX_VALUE);
        Map<String, List<Route>> routeLists = new HashMap<>();
        for (Route route : routes) {
            routeLists.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        routeLists
                .values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed()));
        this.routesByHost = Map.copyOf(routeLists);
        Map<String, ServiceSpec> specsByName = new HashMap<>();
        services.forEach(service -> specsByName.put(service.name(), service));
        this.services = Map.copyOf(specsByName);
    }

    /**
     * Returns the version number.
     *
     * @return the version; higher is newer
     */
    public long version() {
        return version;
    }

    /**
     * Returns the shortest latency objective of all routes.
     *
     * @return milliseconds, {@link Long#MAX_VALUE} if there are no routes
     */
    public long shortestObjectiveMs() {
        return shortestObjectiveMs;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the route of a request: the one of its host with the longest matching path prefix.
     *
     * @param host host of the request, with or without a port
     * @param path path of the request without the query
     * @return the route, empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns all routes, in no particular order.
     *
     * @return the routes
     */
    public List<Route> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns the routes of a host.
     *
     * @param host the host
     * @return its routes, by descending length of the path prefix
     */
    public List<Route> routesOf(String host) {
        return List.copyOf(routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()));
    }

    /**
     * Returns the rules that apply to the requests of a host: its public routes, and the others once for each set of
     * home regions that workspaces have.
     *
     * @param host the host
     * @return the rules; the routes of the host without workspaces
     */
    public List<Route> rulesOf(String host) {
        return routesOf(host).stream()
                .flatMap(route -> hasWorkspaces() && !route.isPublic()
                        ? workspacesWithDistinctHomes.stream()
                                .flatMap(workspace -> route.forWorkspace(workspace).stream())
                        : Stream.of(route))
                .toList();
    }

    /**
     * Returns the configuration of a service.
     *
     * @param name name of the service
     * @return the service, empty if it is not declared
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services, by name
     */
    public Map<String, ServiceSpec> services() {
        return services;
    }

    /**
     * Returns all workspaces.
     *
     * @return the workspaces, in the order of the configuration
     */
    public List<WorkspaceSpec> workspaces() {
        return workspaces;
    }

    /**
     * Returns whether requests need an API key, except those of public routes.
     *
     * @return true if workspaces are declared
     */
    public boolean hasWorkspaces() {
        return !workspaces.isEmpty();
    }

    /**
     * Returns the workspace that holds an API key.
     *
     * @param apiKey the key
     * @return the workspace, empty if no workspace of this version holds the key
     */
    public Optional<WorkspaceSpec> workspaceOf(String apiKey) {
        WorkspaceSpec known = workspacesByKey.get(apiKey);
        if (known != null || workspacesByKeyHash.isEmpty()) {
            return Optional.ofNullable(known);
        }
        return Optional.ofNullable(workspacesByKeyHash.get(ApiKeyHash.of(apiKey)));
    }
}
