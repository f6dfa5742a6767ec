package org.ibissaddle.daemon.stream;

import java.io.IOException;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementRequest;

/** Handles model calls with streamed or complete JSON responses. */
public final class ModelAnswers {
    private final ModelContext context;
    private final NonStreamingCallHandler nonStreamingHandler;
    private final IsolationGate isolationGate = new IsolationGate();

    /**
     * Creates the handler.
     *
     * @param context dependencies of model calls
     */
    public ModelAnswers(ModelContext context) {
        this.context = context;
        this.nonStreamingHandler = new NonStreamingCallHandler(context);
    }

    /**
     * Handles a call.
     *
     * @param request request of the caller
     * @param work attributes of the request for placement
     * @param streamed whether the response is streamed
     * @param reply writes the response to the caller
     * @throws RefusedException if the call is refused or fails before the response has started
     * @throws IOException if the caller has disconnected
     */
    public void answer(CallerRequest request, PlacementRequest work, boolean streamed, CallerReply reply)
            throws RefusedException, IOException {
        UpstreamRequests requests = new UpstreamRequests(
                context.settings(),
                context.state().recorder(),
                work,
                request.head().path(),
                request.body());
        AttemptPlacer placer = new AttemptPlacer(context, isolationGate, work, request.body());
        if (streamed) {
            new StreamSession(context, requests, placer, work, reply, request.arrivedAtMs()).run();
        } else {
            nonStreamingHandler.serve(work, requests, placer, reply);
        }
    }
}
