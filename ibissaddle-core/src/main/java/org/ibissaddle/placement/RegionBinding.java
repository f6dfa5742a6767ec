package org.ibissaddle.placement;

import java.util.List;
import java.util.Optional;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Checks at each hop whether a request may be served in the local region. Only needs the request head, so the check can
 * run before the body is read.
 *
 * <pre>{@code
 * Optional<Refusal> refusal = RegionBinding.check(workspaceId, visited, note, fleet);
 * }</pre>
 */
public final class RegionBinding {
    /** Maximum number of times that a request may be forwarded between regions. */
    public static final int MAX_HOPS = 1;

    private RegionBinding() {}

    /**
     * Checks the workspace binding and the number of hops. The binding is taken from the local release note only, never
     * from the caller or a peer, so that sender and receiver each enforce their own note.
     *
     * @param id workspace of the request
     * @param visited regions that forwarded the request before
     * @param note the release note in force
     * @param fleet current view of the fleet
     * @return the reason why the request must not be served here; empty when it may be served
     */
    public static Optional<Refusal> check(WorkspaceId id, List<Region> visited, ReleaseNote note, FleetView fleet) {
        Region here = fleet.self().region();
        Optional<Workspace> workspace = note.workspace(id);
        if (workspace.isEmpty()) {
            return refusal(
                    RefusalType.UNKNOWN_WORKSPACE, "workspace \"" + id + "\" is not declared in note " + note.number());
        }
        if (!workspace.get().allows(here)) {
            return Optional.of(wrongRegion(workspace.get(), here, fleet));
        }
        if (visited.size() > MAX_HOPS || visited.contains(here)) {
            return refusal(
                    RefusalType.FORWARD_REFUSED,
                    "request of workspace \"" + id + "\" reached region \"" + here + "\" after regions " + visited
                            + " had forwarded it");
        }
        if (!visited.isEmpty() && workspace.get().homeRegion().isPresent()) {
            return refusal(
                    RefusalType.FORWARD_REFUSED,
                    "request of workspace \"" + id + "\" is bound to its region and must not be forwarded");
        }
        return Optional.empty();
    }

    /**
     * Returns whether a request may be forwarded to another region.
     *
     * @param id workspace of the request
     * @param target region to forward the request to
     * @param visited regions that forwarded the request before
     * @param note the release note in force
     * @param here the local region
     * @return whether the workspace binding and the number of hops allow forwarding
     */
    public static boolean mayForward(
            WorkspaceId id, Region target, List<Region> visited, ReleaseNote note, Region here) {
        Optional<Workspace> workspace = note.workspace(id);
        boolean isUnbound =
                workspace.isPresent() && workspace.get().homeRegion().isEmpty();
        return isUnbound && visited.isEmpty() && !target.equals(here);
    }

    private static Optional<Refusal> refusal(RefusalType type, String message) {
        return Optional.of(Refusal.of(type, message, ExecutionStatus.NOT_RUN));
    }

    private static Refusal wrongRegion(Workspace workspace, Region here, FleetView fleet) {
        String message = "workspace \"" + workspace.id() + "\" is bound to region \""
                + workspace.homeRegion().orElseThrow() + "\", this is region \"" + here + "\"";
        return Refusal.of(RefusalType.WRONG_REGION, message, ExecutionStatus.NOT_RUN)
                .withInstances(fleet.peers().stream()
                        .filter(peer -> workspace.allows(peer.region()))
                        .filter(peer -> peer.health().acceptsNewWork())
                        .map(InstanceView::callerAddress)
                        .toList());
    }
}
