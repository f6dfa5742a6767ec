package org.ibissaddle.dispatch;

import java.util.Optional;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Checks right before the first byte that a call may still be written. A process may have slept since the server was
 * chosen, so all beliefs are read afresh.
 *
 * @param workspace workspace of the call
 * @param pool pool that serves it
 * @param region own region
 * @param deadlineMs when its caller gives up, epoch milliseconds
 * @param maxViewAgeMs oldest view of the fleet that may be acted on, milliseconds
 */
public record SendCheck(WorkspaceId workspace, PoolId pool, Region region, long deadlineMs, long maxViewAgeMs) {
    /**
     * Looks for a reason not to write.
     *
     * @param server the chosen server
     * @param note the note in force now
     * @param fleet beliefs now
     * @param nowMs a fresh reading of the clock, epoch milliseconds
     * @return the reason, empty when the call may be written
     */
    public Optional<Refusal> refusal(ServerView server, ReleaseNote note, FleetView fleet, long nowMs) {
        if (nowMs >= deadlineMs) {
            return refuse(RefusalType.DEADLINE_PASSED, "the deadline of the call has passed");
        }
        Optional<Workspace> declared = note.workspace(workspace);
        if (declared.isEmpty()) {
            return refuse(RefusalType.UNKNOWN_WORKSPACE, "workspace \"" + workspace + "\" is not declared");
        }
        Optional<Region> home = declared.get().home();
        if (home.isPresent() && !(home.get().equals(region) && home.get().equals(server.region()))) {
            return refuse(RefusalType.WRONG_REGION, "workspace \"" + workspace + "\" is bound to " + home.get());
        }
        if (!note.pools().containsKey(pool)) {
            return refuse(RefusalType.UNKNOWN_ROUTE, "pool \"" + pool + "\" is no longer declared");
        }
        if (nowMs - fleet.refreshedAtMs() > maxViewAgeMs) {
            return refuse(RefusalType.NO_SERVER, "the view of the fleet is out of date");
        }
        return member(server, fleet);
    }

    private Optional<Refusal> member(ServerView server, FleetView fleet) {
        for (ServerView now : fleet.serversOf(pool)) {
            boolean same = now.id().equals(server.id()) && now.address().equals(server.address());
            if (same && now.health().takesNewWork()) {
                return Optional.empty();
            }
        }
        return refuse(RefusalType.NO_SERVER, "server " + server.id() + " takes no new work");
    }

    private static Optional<Refusal> refuse(RefusalType type, String message) {
        return Optional.of(Refusal.of(type, message, Fate.NOT_RUN));
    }
}
