package org.ibissaddle.dispatch;

import java.util.Optional;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Checks right before the first byte whether a call may still be written. The process may have been paused since the
 * server was selected, so the check uses the current release note and view of the fleet.
 *
 * @param workspace workspace of the call
 * @param pool pool that serves the call
 * @param region region of this instance
 * @param deadlineMs deadline of the caller, epoch milliseconds
 * @param maxViewAgeMs maximum age of a usable view of the fleet, milliseconds
 */
public record SendCheck(WorkspaceId workspace, PoolId pool, Region region, long deadlineMs, long maxViewAgeMs) {
    /**
     * Returns the reason why the call must not be written, if there is one.
     *
     * @param server the selected server
     * @param note the current release note
     * @param fleet the current view of the fleet
     * @param nowMs current time, read right before this call, epoch milliseconds
     * @return the reason, empty if the call may be written
     */
    public Optional<Refusal> refusal(ServerView server, ReleaseNote note, FleetView fleet, long nowMs) {
        if (nowMs >= deadlineMs) {
            return refuse(RefusalType.DEADLINE_PASSED, "the deadline of the call has passed");
        }
        Optional<Workspace> declared = note.workspace(workspace);
        if (declared.isEmpty()) {
            return refuse(
                    RefusalType.UNKNOWN_WORKSPACE,
                    "workspace \"" + workspace + "\" is not declared in note " + note.number());
        }
        Optional<Region> home = declared.get().homeRegion();
        if (home.isPresent() && !(home.get().equals(region) && home.get().equals(server.region()))) {
            return refuse(
                    RefusalType.WRONG_REGION,
                    "workspace \"" + workspace + "\" is bound to region \"" + home.get() + "\"; this is region \""
                            + region + "\" and server " + server.id() + " is in region \"" + server.region() + "\"");
        }
        if (!note.pools().containsKey(pool)) {
            return refuse(
                    RefusalType.UNKNOWN_ROUTE, "pool \"" + pool + "\" is no longer declared in note " + note.number());
        }
        if (nowMs - fleet.refreshedAtMs() > maxViewAgeMs) {
            return refuse(
                    RefusalType.NO_SERVER, "the fleet view of this instance is older than " + maxViewAgeMs + " ms");
        }
        return checkServer(server, fleet);
    }

    private Optional<Refusal> checkServer(ServerView server, FleetView fleet) {
        for (ServerView current : fleet.serversInPool(pool)) {
            boolean sameServer =
                    current.id().equals(server.id()) && current.address().equals(server.address());
            if (sameServer && current.health().acceptsNewWork()) {
                return Optional.empty();
            }
        }
        return refuse(
                RefusalType.NO_SERVER,
                "server " + server.id() + " of pool \"" + pool + "\" accepts no new calls or is no longer listed");
    }

    private static Optional<Refusal> refuse(RefusalType type, String message) {
        return Optional.of(Refusal.of(type, message, ExecutionStatus.NOT_RUN));
    }
}
