package org.ibissaddle.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ibissaddle.id.Region;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredRoute;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredWorkspace;

/** Finds unreachable entries and contradictions in a configuration before it is published. */
public final class ConfigurationCheck {
    /** Cost of a request without a token count where the configuration does not declare one. */
    private static final int DEFAULT_PLAIN_TOKENS = 200;

    private final DeclaredConfiguration configuration;
    private final Surroundings surroundings;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    private ConfigurationCheck(DeclaredConfiguration configuration, Surroundings surroundings) {
        this.configuration = configuration;
        this.surroundings = surroundings;
    }

    /**
     * What is known of the deployment that the configuration is for.
     *
     * @param regions all regions; empty if unknown
     * @param servers number of servers by service; services that are absent are unknown
     * @param versionInForce version that the configuration replaces; empty if unknown
     */
    public record Surroundings(Set<Region> regions, Map<String, Integer> servers, OptionalLong versionInForce) {
        /** Nothing is known. */
        public static final Surroundings UNKNOWN = new Surroundings(Set.of(), Map.of(), OptionalLong.empty());

        /** Makes defensive copies of the collections. */
        public Surroundings {
            regions = Set.copyOf(regions);
            servers = Map.copyOf(servers);
        }
    }

    /**
     * Checks a configuration.
     *
     * @param configuration the configuration
     * @param surroundings what is known of the deployment
     * @return the findings in the order of the entries; empty if there are none
     */
    public static List<ConfigurationFinding> check(DeclaredConfiguration configuration, Surroundings surroundings) {
        ConfigurationCheck check = new ConfigurationCheck(configuration, surroundings);
        check.checkVersion();
        check.checkRoutes();
        check.checkServices();
        check.checkWorkspaces();
        check.checkSumOfQuotas();
        return List.copyOf(check.findings);
    }

    private void checkVersion() {
        OptionalLong inForce = surroundings.versionInForce();
        if (inForce.isPresent() && configuration.version() <= inForce.getAsLong()) {
            error(
                    "version",
                    "version " + configuration.version() + " is not above version " + inForce.getAsLong()
                            + " that is in force, so instances ignore this configuration");
        }
    }

    private void checkRoutes() {
        List<Route> routes =
                configuration.routes().stream().map(DeclaredRoute::route).toList();
        checkNames("routes", routes, Route::name);
        Set<String> services =
                configuration.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
        Map<String, String> placeByTarget = new HashMap<>();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            String place = place("routes", i, route.name());
            // Hosts contain no space, so host and prefix cannot be confused.
            String wider = placeByTarget.putIfAbsent(route.host() + " " + route.pathPrefix(), place);
            if (wider != null) {
                error(place, "gets no requests, as " + wider + " has the same host and path prefix");
            }
            if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
                error(place, "the path prefix \"" + route.pathPrefix() + "\" must begin and end with a slash");
            }
            checkServicesOf(route, place, services);
            checkTimesOf(configuration.routes().get(i), place);
            checkRegions(route.homeRegions(), place);
        }
    }

    private void checkServicesOf(Route route, String place, Set<String> declared) {
        List<String> missing = route.services().stream()
                .map(WeightedService::service)
                .filter(service -> !declared.contains(service))
                .distinct()
                .toList();
        boolean isNoneDeclared = route.services().stream().noneMatch(service -> declared.contains(service.service()));
        if (isNoneDeclared) {
            error(place, "none of its services is declared: " + String.join(", ", missing));
        } else if (!missing.isEmpty()) {
            warning(place, "some of its services are not declared: " + String.join(", ", missing));
        }
        if (route.services().stream().anyMatch(service -> service.weight() < 0)) {
            error(place, "a service has a negative weight");
        } else if (route.services().stream().allMatch(service -> service.weight() == 0)) {
            error(place, "all services have the weight 0");
        }
    }

    private void checkTimesOf(DeclaredRoute declared, String place) {
        Route route = declared.route();
        if (declared.hasObjective() && route.timeoutMs() <= route.targetLatencyMs()) {
            error(
                    place,
                    "the timeout of " + route.timeoutMs() + " ms is not above the objective of "
                            + route.targetLatencyMs() + " ms");
        }
        if (route.maxAttempts() < 1) {
            error(place, "the maximum number of attempts is " + route.maxAttempts() + " but must be at least 1");
        }
        if (route.maxAttempts() > 1 && !route.isRetryable()) {
            warning(
                    place,
                    route.maxAttempts() + " attempts are allowed, but a request that may have run is not repeated: "
                            + "the route is neither idempotent nor resumable");
        }
    }

    private void checkServices() {
        checkNames("services", configuration.services(), ServiceSpec::name);
        Set<String> declared =
                configuration.services().stream().map(ServiceSpec::name).collect(Collectors.toSet());
        for (String service : new TreeSet<>(surroundings.servers().keySet())) {
            if (!declared.contains(service)) {
                warning("services", "servers are given for the service \"" + service + "\", which is not declared");
            }
        }
    }

    private void checkWorkspaces() {
        List<DeclaredWorkspace> workspaces = configuration.workspaces();
        checkNames("workspaces", workspaces, workspace -> workspace.spec().id().name());
        Map<String, Integer> holderByKey = new HashMap<>();
        for (int i = 0; i < workspaces.size(); i++) {
            DeclaredWorkspace workspace = workspaces.get(i);
            String place = workspacePlace(i);
            if (workspace.keyHashes().isEmpty()) {
                error(place, "has no key, so nobody can use it");
            }
            for (int k = 0; k < workspace.keyHashes().size(); k++) {
                Integer holder = holderByKey.putIfAbsent(workspace.keyHashes().get(k), i);
                String keyPlace = place + " keys[" + k + "]";
                if (holder != null && holder != i) {
                    error(keyPlace, "the same key is held by " + workspacePlace(holder));
                } else if (holder != null) {
                    warning(keyPlace, "the workspace already has this key");
                }
            }
            checkRegions(workspace.spec().homeRegions(), place);
            checkCommonRegions(workspace.spec(), place);
            checkQuota(workspace.spec().quota(), place);
        }
    }

    private String workspacePlace(int index) {
        return place(
                "workspaces",
                index,
                configuration.workspaces().get(index).spec().id().name());
    }

    private void checkCommonRegions(WorkspaceSpec workspace, String place) {
        List<String> unusable = new ArrayList<>();
        for (int i = 0; i < configuration.routes().size(); i++) {
            Route route = configuration.routes().get(i).route();
            if (!route.isPublic() && route.forWorkspace(workspace).isEmpty()) {
                unusable.add(place("routes", i, route.name()));
            }
        }
        if (!unusable.isEmpty()) {
            warning(place, "has no home region in common with " + String.join(", ", unusable));
        }
    }

    private void checkRegions(Set<Region> homeRegions, String place) {
        if (surroundings.regions().isEmpty()) {
            return;
        }
        for (Region region : new TreeSet<>(homeRegions)) {
            if (!surroundings.regions().contains(region)) {
                error(place, "the home region \"" + region + "\" is not a region of the deployment");
            }
        }
    }

    private void checkQuota(Quota quota, String place) {
        if (quota.perSecond() < 0 || quota.burst() < 0) {
            error(place, "the rate or the burst of the quota is negative");
            return;
        }
        if (!quota.isLimited()) {
            if (quota.burst() > 0) {
                warning(place, "the burst of " + quota.burst() + " has no effect, as a rate of 0 means no limit");
            }
            return;
        }
        long cost = quota.unit() == QuotaUnit.REQUESTS
                ? 1
                : quota.plainTokens() > 0 ? quota.plainTokens() : DEFAULT_PLAIN_TOKENS;
        if (quota.burst() < cost) {
            warning(place, "the burst of " + quota.burst() + " is below the cost of a typical request, " + cost);
        }
    }

    /**
     * Compares the token quotas with the KV caches of all engines. The speed of engines is not declared, so the limit
     * is one complete replacement of all caches per second. For the two deployments in WORKSPACES-AND-LOAD that is 3.6
     * and 7.1 times the speed at which their engines read prompts that are not cached.
     */
    private void checkSumOfQuotas() {
        double capacity = 0;
        for (ServiceSpec service : configuration.services()) {
            if (service.engine().isEmpty()) {
                continue;
            }
            Integer servers = surroundings.servers().get(service.name());
            long tokens = service.engine().get().kvTokens();
            if (servers == null || tokens == Long.MAX_VALUE) {
                // The comparison needs the capacity of every engine.
                return;
            }
            capacity += (double) servers * tokens;
        }
        double sum = configuration.workspaces().stream()
                .map(workspace -> workspace.spec().quota())
                .filter(quota -> quota.unit() == QuotaUnit.TOKENS && quota.isLimited())
                .mapToDouble(Quota::perSecond)
                .sum();
        if (!surroundings.servers().isEmpty() && sum > capacity) {
            warning(
                    "workspaces",
                    String.format(
                            "the quotas sum up to %.0f tokens per second, but the given servers hold only %.0f tokens",
                            sum, capacity));
        }
    }

    private <T> void checkNames(String list, List<T> entries, Function<T, String> nameOf) {
        Map<String, Integer> firstByName = new HashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            String name = nameOf.apply(entries.get(i));
            Integer first = firstByName.putIfAbsent(name, i);
            if (first != null && !name.isEmpty()) {
                error(place(list, i, name), "has the same name as " + list + "[" + first + "]");
            }
        }
    }

    private void error(String place, String message) {
        findings.add(ConfigurationFinding.error(place, message));
    }

    private void warning(String place, String message) {
        findings.add(ConfigurationFinding.warning(place, message));
    }

    /**
     * Returns the place of an entry of a list.
     *
     * @param list name of the list
     * @param index position in the list, from 0
     * @param name name of the entry, empty if it has none
     * @return the place, for example {@code routes[3] "r-x"}
     */
    public static String place(String list, int index, String name) {
        String position = list + "[" + index + "]";
        return name.isEmpty() ? position : position + " \"" + name + "\"";
    }
}
