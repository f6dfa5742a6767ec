package org.ibissaddle.note;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;

/**
 * The complete state that a release note declares. Immutable. Two notes are the same if and only if their numbers and
 * digests are equal.
 *
 * @param number number of the note; a note is only ever replaced by one with a higher number
 * @param digest SHA-256 of the canonical text in lowercase hexadecimal
 * @param regions all regions
 * @param zones availability zones with their regions
 * @param pools pools of backend servers
 * @param workspaces workspaces; requests of undeclared workspaces are refused
 * @param routes routes of plain services, in order; the first that matches a call applies
 * @param links wide-area network links
 * @param spill limits on sending requests to other regions
 * @param weights weights of the objectives of routing decisions
 * @param adapters adapters of the model versions
 * @param store the weight store
 */
public record ReleaseNote(
        long number,
        String digest,
        List<Region> regions,
        SortedMap<Zone, Region> zones,
        SortedMap<PoolId, Pool> pools,
        Map<WorkspaceId, Workspace> workspaces,
        List<PoolRoute> routes,
        List<Link> links,
        SpillRules spill,
        ObjectiveWeights weights,
        SortedMap<AdapterId, Adapter> adapters,
        WeightStore store) {
    /** Makes defensive copies of all collections. */
    public ReleaseNote {
        regions = List.copyOf(regions);
        zones = Collections.unmodifiableSortedMap(new TreeMap<>(zones));
        pools = Collections.unmodifiableSortedMap(new TreeMap<>(pools));
        workspaces = Map.copyOf(workspaces);
        routes = List.copyOf(routes);
        links = List.copyOf(links);
        adapters = Collections.unmodifiableSortedMap(new TreeMap<>(adapters));
    }

    /**
     * Creates a note without adapters and with the default weight store.
     *
     * @param number number of the note
     * @param digest SHA-256 of the canonical text
     * @param regions all regions
     * @param zones availability zones with their regions
     * @param pools pools of backend servers
     * @param workspaces workspaces
     * @param routes routes of plain services
     * @param links wide-area network links
     * @param spill limits on sending requests to other regions
     * @param weights weights of the objectives of routing decisions
     */
    public ReleaseNote(
            long number,
            String digest,
            List<Region> regions,
            SortedMap<Zone, Region> zones,
            SortedMap<PoolId, Pool> pools,
            Map<WorkspaceId, Workspace> workspaces,
            List<PoolRoute> routes,
            List<Link> links,
            SpillRules spill,
            ObjectiveWeights weights) {
        this(
                number,
                digest,
                regions,
                zones,
                pools,
                workspaces,
                routes,
                links,
                spill,
                weights,
                new TreeMap<>(),
                WeightStore.DEFAULT);
    }

    /**
     * Finds a workspace.
     *
     * @param id name of the workspace
     * @return the workspace, or empty if the note does not declare it
     */
    public Optional<Workspace> workspace(WorkspaceId id) {
        return Optional.ofNullable(workspaces.get(id));
    }

    /**
     * Finds the route for a call to a plain service.
     *
     * @param method HTTP method in upper case
     * @param path path without query
     * @return the first route that matches, or empty if none does
     */
    public Optional<PoolRoute> route(String method, String path) {
        for (PoolRoute route : routes) {
            if (route.matches(method, path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the newest declared version of a model, or the given version if the name includes one.
     *
     * @param name {@code model} or {@code model@version}
     * @return the model version, or empty if no pool serves it
     */
    public Optional<ModelId> model(String name) {
        ModelId newest = null;
        for (Pool pool : pools.values()) {
            for (ModelId model : pool.models()) {
                boolean matches = model.toString().equals(name) || model.model().equals(name);
                if (matches && (newest == null || newest.compareTo(model) < 0)) {
                    newest = model;
                }
            }
        }
        return Optional.ofNullable(newest);
    }

    /**
     * Finds the pool that serves a model version.
     *
     * @param model the model version
     * @return the first pool in name order that declares the model version, or empty if none does
     */
    public Optional<Pool> poolOf(ModelId model) {
        return pools.values().stream()
                .filter(pool -> pool.models().contains(model))
                .findFirst();
    }

    /**
     * Finds the link between two regions.
     *
     * @param x a region
     * @param y another region
     * @return the link, or empty if none is declared
     */
    public Optional<Link> link(Region x, Region y) {
        return links.stream().filter(link -> link.connects(x, y)).findFirst();
    }
}
