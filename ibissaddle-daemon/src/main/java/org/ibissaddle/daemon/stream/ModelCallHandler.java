package org.ibissaddle.daemon.stream;

import java.io.IOException;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementRequest;

/** Handles model calls with streamed or complete JSON responses. */
public final class ModelCallHandler {
    private final ModelCallDependencies dependencies;
    private final NonStreamingCallHandler nonStreamingHandler;
    private final IsolationGate isolationGate = new IsolationGate();

    /**
     * Creates the handler.
     *
     * @param dependencies dependencies of model calls
     */
    public ModelCallHandler(ModelCallDependencies dependencies) {
        this.dependencies = dependencies;
        this.nonStreamingHandler = new NonStreamingCallHandler(dependencies);
    }

    /**
     * Handles a call.
     *
     * @param request request of the caller
     * @param placementRequest attributes of the request for placement
     * @param streamed whether the response is streamed
     * @param response writes the response to the caller
     * @throws RefusedException if the call is refused or fails before the response has started
     * @throws IOException if the caller has disconnected
     */
    public void handle(
            CallerRequest request, PlacementRequest placementRequest, boolean streamed, ClientResponseWriter response)
            throws RefusedException, IOException {
        UpstreamRequests requests = new UpstreamRequests(
                dependencies.settings(),
                dependencies.state().recorder(),
                placementRequest,
                request.head().path(),
                request.body());
        AttemptPlacer placer = new AttemptPlacer(dependencies, isolationGate, placementRequest, request.body());
        if (streamed) {
            new StreamSession(dependencies, requests, placer, placementRequest, response, request.arrivedAtMs()).run();
        } else {
            nonStreamingHandler.handle(placementRequest, requests, placer, response);
        }
    }
}
