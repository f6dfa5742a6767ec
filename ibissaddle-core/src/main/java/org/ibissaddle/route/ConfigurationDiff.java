package org.ibissaddle.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ibissaddle.id.Region;
import org.ibissaddle.route.ConfigurationChange.Kind;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredRoute;
import org.ibissaddle.route.DeclaredConfiguration.DeclaredWorkspace;

/**
 * Describes the differences between two configurations and which running work they touch. A request keeps the route
 * with which it arrived. Its key, and the homes and priority of its workspace, are checked again at each attempt.
 */
public final class ConfigurationDiff {
    private static final String HOMES = "home regions";
    private static final String NEW_REQUESTS = "applies to new requests; running ones keep their route";

    private final DeclaredConfiguration before;
    private final DeclaredConfiguration after;
    private final Map<String, String> holderByKeyAfter = new HashMap<>();
    private final List<ConfigurationChange> changes = new ArrayList<>();

    private ConfigurationDiff(DeclaredConfiguration before, DeclaredConfiguration after) {
        this.before = before;
        this.after = after;
        after.workspaces()
                .forEach(workspace ->
                        workspace.keyHashes().forEach(hash -> holderByKeyAfter.put(hash, name(workspace))));
    }

    /**
     * Compares two configurations.
     *
     * @param before the configuration in force
     * @param after the configuration that is to replace it
     * @return the changes of access, limits, routes, services and workspaces, in this order
     */
    public static List<ConfigurationChange> between(DeclaredConfiguration before, DeclaredConfiguration after) {
        ConfigurationDiff diff = new ConfigurationDiff(before, after);
        diff.compareAccess();
        diff.compareLimits();
        diff.compareRoutes();
        diff.compareServices();
        diff.compareWorkspaces();
        return List.copyOf(diff.changes);
    }

    private void compareAccess() {
        boolean needsKeys = !after.workspaces().isEmpty();
        if (needsKeys == before.workspaces().isEmpty()) {
            String effect = needsKeys
                    ? "requests without a key are rejected from now on, also waiting ones, except on public routes"
                    : "requests need no key any more";
            changes.add(new ConfigurationChange(Kind.CHANGED, "access", List.of(), effect));
        }
    }

    private void compareLimits() {
        List<String> details = details(fieldsOf(before.limits()), fieldsOf(after.limits()));
        if (!details.isEmpty()) {
            changes.add(new ConfigurationChange(
                    Kind.CHANGED, "limits", details, "applies to requests that arrive from now on"));
        }
    }

    private void compareRoutes() {
        Function<DeclaredRoute, String> nameOf =
                declared -> declared.route().name().isEmpty()
                        ? declared.route().host() + declared.route().pathPrefix()
                        : declared.route().name();
        Map<String, DeclaredRoute> previous = byName(before.routes(), nameOf);
        byName(after.routes(), nameOf).forEach((name, declared) -> {
            DeclaredRoute old = previous.remove(name);
            String subject = subject("route", name);
            if (old == null) {
                add(Kind.ADDED, subject, "its path gets requests from now on");
                return;
            }
            List<String> details = details(fieldsOf(old.route()), fieldsOf(declared.route()));
            if (!details.isEmpty()) {
                changes.add(new ConfigurationChange(
                        Kind.CHANGED, subject, details, routeEffect(old.route(), declared.route())));
            }
        });
        previous.forEach((name, declared) -> add(
                Kind.REMOVED,
                subject("route", name),
                "running requests end as before; new ones get a wider route of the host or are rejected"));
    }

    private static String routeEffect(Route old, Route route) {
        List<String> effects = new ArrayList<>();
        if (!old.services().equals(route.services())) {
            effects.add("new requests go to other services or in other shares");
        }
        if (!old.homeRegions().equals(route.homeRegions())) {
            effects.add("new requests are served in other regions");
        }
        if (old.isPublic() && !route.isPublic()) {
            effects.add("new requests need a key");
        }
        if (!old.isPublic() && route.isPublic()) {
            effects.add("new requests need no key");
        }
        if (!old.host().equals(route.host()) || !old.pathPrefix().equals(route.pathPrefix())) {
            effects.add("requests to the former path are rejected or get another route");
        }
        effects.add(NEW_REQUESTS);
        return String.join("; ", effects);
    }

    private void compareServices() {
        Map<String, ServiceSpec> previous = byName(before.services(), ServiceSpec::name);
        byName(after.services(), ServiceSpec::name).forEach((name, service) -> {
            ServiceSpec old = previous.remove(name);
            String subject = subject("service", name);
            if (old == null) {
                add(Kind.ADDED, subject, "no effect on running requests");
                return;
            }
            List<String> details = details(fieldsOf(old), fieldsOf(service));
            if (!details.isEmpty()) {
                changes.add(new ConfigurationChange(
                        Kind.CHANGED, subject, details, "applies when servers are selected from now on"));
            }
        });
        previous.forEach((name, service) -> add(Kind.REMOVED, subject("service", name), removedServiceEffect(name)));
    }

    private String removedServiceEffect(String service) {
        List<String> users = after.routes().stream()
                .map(DeclaredRoute::route)
                .filter(route -> route.services().stream()
                        .anyMatch(share -> share.service().equals(service)))
                .map(route -> subject("route", route.name()))
                .toList();
        return users.isEmpty() ? "no route uses it" : "still used by " + String.join(", ", users);
    }

    private void compareWorkspaces() {
        Map<String, DeclaredWorkspace> previous = byName(before.workspaces(), ConfigurationDiff::name);
        byName(after.workspaces(), ConfigurationDiff::name).forEach((name, workspace) -> {
            DeclaredWorkspace old = previous.remove(name);
            String subject = subject("workspace", name);
            if (old == null) {
                add(Kind.ADDED, subject, "its keys are valid from now on");
                return;
            }
            List<String> details = details(fieldsOf(old.spec()), fieldsOf(workspace.spec()));
            KeyChange keys = keyChange(old, workspace);
            details.addAll(keys.details());
            if (!details.isEmpty()) {
                changes.add(new ConfigurationChange(
                        Kind.CHANGED, subject, details, workspaceEffect(old.spec(), workspace.spec(), keys)));
            }
        });
        previous.forEach((name, workspace) -> {
            KeyChange keys = keyChange(workspace, new DeclaredWorkspace(workspace.spec(), List.of()));
            String effect = keys.effects().isEmpty() ? "it has no keys of its own" : String.join("; ", keys.effects());
            changes.add(new ConfigurationChange(Kind.REMOVED, subject("workspace", name), keys.details(), effect));
        });
    }

    private record KeyChange(List<String> details, Set<String> effects) {}

    private KeyChange keyChange(DeclaredWorkspace old, DeclaredWorkspace workspace) {
        List<String> details = new ArrayList<>();
        Set<String> effects = new TreeSet<>();
        for (int i = 0; i < old.keyHashes().size(); i++) {
            String hash = old.keyHashes().get(i);
            if (workspace.keyHashes().contains(hash)) {
                continue;
            }
            String holder = holderByKeyAfter.get(hash);
            if (holder != null) {
                details.add("keys[" + i + "] moved to " + subject("workspace", holder));
                effects.add("requests with a moved key count for the other workspace");
            } else if (after.workspaces().isEmpty()) {
                effects.add("its keys are not needed any more");
            } else {
                details.add("keys[" + i + "] revoked");
                effects.add("waiting requests with a revoked key are rejected, running ones get no further attempt");
            }
        }
        for (int i = 0; i < workspace.keyHashes().size(); i++) {
            if (!old.keyHashes().contains(workspace.keyHashes().get(i))) {
                details.add("new keys[" + i + "]");
                effects.add("new keys are valid from now on");
            }
        }
        return new KeyChange(details, effects);
    }

    private static String workspaceEffect(WorkspaceSpec old, WorkspaceSpec workspace, KeyChange keys) {
        List<String> effects = new ArrayList<>(keys.effects());
        if (isLowered(old.quota(), workspace.quota())) {
            effects.add("the quota is lowered: requests above it get 429");
        } else if (!old.quota().equals(workspace.quota())) {
            effects.add("the quota changes for new requests");
        }
        if (!old.homeRegions().equals(workspace.homeRegions())) {
            effects.add(
                    "waiting and new requests are served in the new home regions only; running ones end where they are");
        }
        if (!old.priority().equals(workspace.priority())) {
            effects.add("waiting and new requests have the new priority");
        }
        return String.join("; ", effects);
    }

    private static boolean isLowered(Quota old, Quota quota) {
        if (!quota.isLimited()) {
            return false;
        }
        boolean isSameUnit = old.unit() == quota.unit();
        return !old.isLimited() || (isSameUnit && (quota.perSecond() < old.perSecond() || quota.burst() < old.burst()));
    }

    private static Map<String, String> fieldsOf(CallerLimits limits) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("header bytes", Integer.toString(limits.maxHeaderBytes()));
        fields.put("body bytes", Integer.toString(limits.maxBodyBytes()));
        fields.put("header timeout ms", Long.toString(limits.headerTimeoutMs()));
        fields.put("idle timeout ms", Long.toString(limits.idleTimeoutMs()));
        return fields;
    }

    private static Map<String, String> fieldsOf(Route route) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("path", route.host() + route.pathPrefix());
        fields.put("kind", route.kind().toString());
        fields.put("timeout ms", Long.toString(route.timeoutMs()));
        fields.put("objective ms", Long.toString(route.targetLatencyMs()));
        fields.put("priority", Integer.toString(route.priority()));
        fields.put(
                "services",
                route.services().stream()
                        .map(share -> share.service() + "=" + share.weight())
                        .collect(Collectors.joining(" ")));
        fields.put("attempts", Integer.toString(route.maxAttempts()));
        fields.put("resumable", Boolean.toString(route.resumable()));
        fields.put(HOMES, describe(route.homeRegions()));
        fields.put("public", Boolean.toString(route.isPublic()));
        return fields;
    }

    private static Map<String, String> fieldsOf(ServiceSpec service) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("health path", service.healthPath());
        fields.put("connections", Integer.toString(service.maxConnections()));
        fields.put("cold ms", Long.toString(service.coldMs()));
        fields.put("cold requests per second", Double.toString(service.coldPerSecond()));
        fields.put("engine", service.engine().map(EngineSpec::toString).orElse("none"));
        return fields;
    }

    private static Map<String, String> fieldsOf(WorkspaceSpec workspace) {
        Map<String, String> fields = new LinkedHashMap<>();
        Quota quota = workspace.quota();
        fields.put(
                "priority",
                workspace.priority().isPresent()
                        ? Integer.toString(workspace.priority().getAsInt())
                        : "of the route");
        fields.put(HOMES, describe(workspace.homeRegions()));
        fields.put("unit", quota.unit().toString());
        fields.put("rate per second", Long.toString(quota.perSecond()));
        fields.put("burst", Long.toString(quota.burst()));
        fields.put("plain tokens", Integer.toString(quota.plainTokens()));
        return fields;
    }

    private static String describe(Set<Region> regions) {
        return regions.isEmpty()
                ? "all"
                : regions.stream().sorted().map(Region::name).collect(Collectors.joining(" "));
    }

    private static List<String> details(Map<String, String> old, Map<String, String> fields) {
        List<String> details = new ArrayList<>();
        fields.forEach((field, value) -> {
            if (!Objects.equals(old.get(field), value)) {
                details.add(field + " " + old.get(field) + " -> " + value);
            }
        });
        return details;
    }

    /** Returns entries by name in their order. Further entries of the same name get a number, so that none is lost. */
    private static <T> Map<String, T> byName(List<T> entries, Function<T, String> nameOf) {
        Map<String, T> byName = new LinkedHashMap<>();
        for (T entry : entries) {
            String name = nameOf.apply(entry);
            String unique = name;
            for (int i = 2; byName.containsKey(unique); i++) {
                unique = name + " #" + i;
            }
            byName.put(unique, entry);
        }
        return byName;
    }

    private void add(Kind kind, String subject, String effect) {
        changes.add(new ConfigurationChange(kind, subject, List.of(), effect));
    }

    private static String name(DeclaredWorkspace workspace) {
        return workspace.spec().id().name();
    }

    private static String subject(String type, String name) {
        return type + " \"" + name + "\"";
    }
}
