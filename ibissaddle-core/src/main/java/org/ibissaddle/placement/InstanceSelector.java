package org.ibissaddle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.internal.placement.InstanceOrder;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;

/**
 * Selects the instances that a caller should send its requests to.
 *
 * <pre>{@code
 * InstanceSelector.RankedInstances ranked = InstanceSelector.select(query, note, fleet, nowMs, random);
 * }</pre>
 */
public final class InstanceSelector {
    private static final long VALIDITY_MS = 10_000;
    private static final long SUSPECT_VALIDITY_MS = 2_000;
    private static final int MAX_INSTANCES = 8;

    private InstanceSelector() {}

    /**
     * A query of a caller.
     *
     * @param workspace workspace of the caller
     * @param zone availability zone of the caller; defaults to that of the instance that answers
     * @param prefix hash of the first block of the caller's prompt, if any
     */
    public record Query(WorkspaceId workspace, Optional<Zone> zone, OptionalLong prefix) {}

    /**
     * The answer to a query.
     *
     * @param instances instances to use, best first; empty when none may serve the workspace
     * @param validUntilMs time at which the answer expires, epoch milliseconds
     */
    public record RankedInstances(List<InstanceView> instances, long validUntilMs) {
        /** Makes a defensive copy of the list. */
        public RankedInstances {
            instances = List.copyOf(instances);
        }
    }

    /**
     * Orders the instances for a caller. The answer contains only instances of regions that the workspace may use.
     * Leaving instances are omitted. Suspect instances come last; if there are any, the answer expires sooner.
     *
     * @param query query of the caller
     * @param note the release note in force
     * @param fleet current view of the fleet
     * @param nowMs current time, epoch milliseconds
     * @param random source of random numbers
     * @return the answer; contains no instances when the release note doesn't declare the workspace
     */
    public static RankedInstances select(
            Query query, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        Optional<Workspace> workspace = note.workspace(query.workspace());
        List<InstanceView> usable = new ArrayList<>();
        boolean anySuspect = false;
        if (workspace.isPresent()) {
            for (InstanceView instance : allInstances(fleet)) {
                boolean isUsable =
                        instance.health().acceptsNewWork() && workspace.get().allows(instance.region());
                if (isUsable) {
                    usable.add(instance);
                    anySuspect |= instance.health() == Health.SUSPECT;
                }
            }
        }
        Region here = fleet.self().region();
        Zone zone = query.zone().orElse(fleet.self().zone());
        List<InstanceView> ordered = InstanceOrder.order(usable, here, zone, query.prefix(), random);
        long validityMs = anySuspect || usable.isEmpty() ? SUSPECT_VALIDITY_MS : VALIDITY_MS;
        return new RankedInstances(ordered.subList(0, Math.min(MAX_INSTANCES, ordered.size())), nowMs + validityMs);
    }

    private static List<InstanceView> allInstances(FleetView fleet) {
        List<InstanceView> all = new ArrayList<>(fleet.peers());
        all.add(fleet.self());
        return all;
    }
}
