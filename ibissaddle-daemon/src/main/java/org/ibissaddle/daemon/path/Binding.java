package org.ibissaddle.daemon.path;

import java.util.List;
import java.util.Optional;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;

/** Finds the workspace of a request and checks that its binding allows this region. */
public final class Binding {
    private static final String BEARER = "Bearer ";

    private final SharedState state;
    private final Region region;

    /**
     * Creates the check of an instance.
     *
     * @param state note and beliefs
     * @param region region of the instance
     */
    public Binding(SharedState state, Region region) {
        this.state = state;
        this.region = region;
    }

    /**
     * Finds the workspace of a request, from the head alone.
     *
     * @param head start line and header fields
     * @return the workspace, which this region may serve
     * @throws RefusedException when there is no note, the workspace is unknown, or it is bound elsewhere
     */
    public Workspace require(RequestHead head) throws RefusedException {
        ReleaseNote note = state.note().orElseThrow(Binding::notReady);
        String name = workspaceName(head).orElseThrow(() -> unknown("the request names no workspace"));
        Workspace workspace = find(note, name);
        if (!workspace.allows(region)) {
            throw wrongRegion(workspace);
        }
        return workspace;
    }

    private static Workspace find(ReleaseNote note, String name) throws RefusedException {
        try {
            return note.workspace(new WorkspaceId(name))
                    .orElseThrow(() -> unknown("workspace \"" + name + "\" is not declared by note " + note.number()));
        } catch (InvalidNameException e) {
            throw unknown(e.getMessage());
        }
    }

    private static Optional<String> workspaceName(RequestHead head) {
        Optional<String> named = head.header(Headers.WORKSPACE);
        if (named.isPresent()) {
            return named;
        }
        return head.header("Authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    private RefusedException wrongRegion(Workspace workspace) {
        Region home = workspace.home().orElseThrow();
        List<Address> instances = state.fleet().peers().stream()
                .filter(peer -> peer.region().equals(home) && peer.health().takesNewWork())
                .map(InstanceView::callerAddress)
                .toList();
        String message = "workspace \"" + workspace.id() + "\" is bound to region \"" + home + "\"; this is region \""
                + region + "\"";
        return new RefusedException(
                Refusal.of(RefusalType.WRONG_REGION, message, Fate.NOT_RUN).use(instances));
    }

    private static RefusedException notReady() {
        return new RefusedException(
                Refusal.of(RefusalType.NOT_READY, "this instance holds no release note yet", Fate.NOT_RUN));
    }

    private static RefusedException unknown(String message) {
        return new RefusedException(Refusal.of(RefusalType.UNKNOWN_WORKSPACE, message, Fate.NOT_RUN));
    }
}
