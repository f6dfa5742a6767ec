package org.ibissaddle.route;

import java.util.Optional;

/** Result of {@link AccessCheck}. */
public sealed interface Access {
    /**
     * The request may be served.
     *
     * @param route rule of the request, with the priority and the homes of its workspace
     * @param workspace workspace of the request, empty if its route is public or there are no workspaces
     * @param keyed whether the configuration has workspaces, so that callers' headers for keys and workspaces must not
     *     reach a server
     */
    record Granted(Route route, Optional<WorkspaceSpec> workspace, boolean keyed) implements Access {}

    /**
     * The request has no valid API key.
     *
     * @param reason the reason, without the key
     */
    record Unauthorized(String reason) implements Access {}

    /**
     * This instance must not run the request, which another instance may serve.
     *
     * @param reason the reason, without the key
     */
    record Unavailable(String reason) implements Access {}
}
