package org.ibissaddle.daemon.path;

import java.io.IOException;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.RefusedException;

/** Handles calls to plain services. */
@FunctionalInterface
public interface ServiceCallHandler {
    /**
     * Handles a call and sends the response.
     *
     * @param request the request
     * @param workspace workspace of the request, which may be served in this region
     * @param response sends the response to the client
     * @throws RefusedException if the call is refused or fails before the response has started
     * @throws IOException if the client has disconnected
     */
    void handle(CallerRequest request, Workspace workspace, ClientResponseWriter response)
            throws RefusedException, IOException;
}
