package org.ibissaddle.daemon.path;

import java.util.Optional;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Binding;

/** Finds the workspace of a request and checks that its binding allows this region. */
public final class HeadBinding {
    private static final String BEARER = "Bearer ";

    private final SharedState state;
    private final Region region;

    /**
     * Creates the check of an instance.
     *
     * @param state note and beliefs
     * @param region region of the instance
     */
    public HeadBinding(SharedState state, Region region) {
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
        ReleaseNote note = state.note().orElseThrow(HeadBinding::notReady);
        String name = workspaceName(head).orElseThrow(() -> unknown("the request names no workspace"));
        WorkspaceId id = workspaceId(name);
        Optional<Refusal> refusal = Binding.check(id, Hops.visited(head, region), note, state.fleet());
        if (refusal.isPresent()) {
            throw new RefusedException(refusal.get());
        }
        return note.workspace(id).orElseThrow();
    }

    private static WorkspaceId workspaceId(String name) throws RefusedException {
        try {
            return new WorkspaceId(name);
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

    private static RefusedException notReady() {
        return new RefusedException(
                Refusal.of(RefusalType.NOT_READY, "this instance holds no release note yet", Fate.NOT_RUN));
    }

    private static RefusedException unknown(String message) {
        return new RefusedException(Refusal.of(RefusalType.UNKNOWN_WORKSPACE, message, Fate.NOT_RUN));
    }
}
