package org.ibissaddle.daemon.path;

import java.util.Optional;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.RegionBinding;

/** Resolves the workspace of a request and checks that it may be served in this region. */
public final class WorkspaceResolver {
    private static final String BEARER_PREFIX = "Bearer ";

    private final SharedState state;
    private final Region region;

    /**
     * Creates a resolver for one instance.
     *
     * @param state current release note and view of the fleet
     * @param region region of the instance
     */
    public WorkspaceResolver(SharedState state, Region region) {
        this.state = state;
        this.region = region;
    }

    /**
     * Resolves the workspace from the request line and header fields, without the body.
     *
     * @param head request line and header fields
     * @return the workspace, which may be served in this region
     * @throws RefusedException if no release note is loaded, the workspace is unknown, or it is bound to other regions
     */
    public Workspace resolve(RequestHead head) throws RefusedException {
        ReleaseNote note = state.note().orElseThrow(WorkspaceResolver::noReleaseNote);
        String name = workspaceName(head)
                .orElseThrow(() -> unknownWorkspace("the request names no workspace in header field \""
                        + GatewayHeaders.WORKSPACE + "\" or as a bearer token"));
        WorkspaceId id = workspaceId(name);
        Optional<Refusal> refusal =
                RegionBinding.check(id, ForwardingHops.forwardingRegions(head, region), note, state.fleet());
        if (refusal.isPresent()) {
            throw new RefusedException(refusal.get());
        }
        return note.workspace(id).orElseThrow();
    }

    private static WorkspaceId workspaceId(String name) throws RefusedException {
        try {
            return new WorkspaceId(name);
        } catch (InvalidIdentifierException e) {
            throw unknownWorkspace(e.getMessage());
        }
    }

    private static Optional<String> workspaceName(RequestHead head) {
        Optional<String> named = head.header(GatewayHeaders.WORKSPACE);
        if (named.isPresent()) {
            return named;
        }
        return head.header("Authorization")
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim());
    }

    private static RefusedException noReleaseNote() {
        return new RefusedException(Refusal.of(
                RefusalType.NOT_READY, "this instance has not received a release note yet", ExecutionStatus.NOT_RUN));
    }

    private static RefusedException unknownWorkspace(String message) {
        return new RefusedException(Refusal.of(RefusalType.UNKNOWN_WORKSPACE, message, ExecutionStatus.NOT_RUN));
    }
}
