package org.ibissaddle.daemon.path;

import java.io.IOException;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.RefusedException;

/** Serves calls of plain services. */
@FunctionalInterface
public interface ServiceCalls {
    /**
     * Serves a call.
     *
     * @param request the request
     * @param workspace its workspace, which this region may serve
     * @param reply the way back
     * @throws RefusedException when it is refused or fails before its answer started
     * @throws IOException when the caller is gone
     */
    void serve(CallerRequest request, Workspace workspace, CallerReply reply) throws RefusedException, IOException;
}
