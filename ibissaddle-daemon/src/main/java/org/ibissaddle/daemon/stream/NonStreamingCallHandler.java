package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Call;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.backend.StreamClient.StartResult;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.Step;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;

/** Handles model calls whose response is a single JSON object. */
final class NonStreamingCallHandler {
    private final ModelCallDependencies dependencies;

    NonStreamingCallHandler(ModelCallDependencies dependencies) {
        this.dependencies = dependencies;
    }

    void handle(
            PlacementRequest placementRequest,
            UpstreamRequests requests,
            AttemptPlacer placer,
            ClientResponseWriter response)
            throws RefusedException, IOException {
        AtomicReference<Call> call = new AtomicReference<>();
        response.onDisconnect(() -> {
            if (call.get() != null) {
                call.get().cancel();
            }
        });
        Dispatch dispatch = dependencies.startDispatch(placementRequest);
        try (placer) {
            Step step = dispatch.first();
            while (step instanceof Step.SelectServer place) {
                AttemptResult evidence = attempt(place, placementRequest, requests, placer, call);
                step = dispatch.next(evidence, dependencies.clock().nowMs());
            }
            OutcomeResponse.send(
                    ((Step.Finish) step).outcome(), dependencies.settings().instance(), response);
            dependencies.crashTracker().recordCompletion(requests.body());
        }
    }

    private AttemptResult attempt(
            Step.SelectServer step,
            PlacementRequest placementRequest,
            UpstreamRequests requests,
            AttemptPlacer placer,
            AtomicReference<Call> call) {
        Target target;
        try {
            target = placer.next(step.tried());
        } catch (RefusedException e) {
            return new AttemptResult.NoServerAvailable(e.refusal());
        }
        PlacementPolicy.DispatchHandle dispatchHandle = dependencies
                .policy()
                .recordDispatch(
                        placementRequest,
                        target.placement(),
                        dependencies.clock().nowMs());
        StartResult.Failed result = dependencies
                .engines()
                .fetch(
                        target.id(),
                        requests.start(target, step.attempt(), java.util.Optional.empty()),
                        placementRequest.deadlineMs() - dependencies.clock().nowMs(),
                        call::set);
        AttemptResult evidence = verifyRequest(target, step.attempt(), placementRequest, result.evidence());
        observe(target, evidence);
        if (evidence instanceof AttemptResult.Answered) {
            dependencies.crashTracker().recordAccepted(target.id());
        }
        dispatchHandle.completed(
                evidence instanceof AttemptResult.Answered, dependencies.clock().nowMs());
        if (evidence instanceof AttemptResult.LostAfterWrite || evidence instanceof AttemptResult.TruncatedResponse) {
            recordCrashIfRefused(target, placementRequest, call);
        }
        return evidence;
    }

    private void observe(Target target, AttemptResult evidence) {
        if (!target.peer()) {
            dependencies.state().observations().recordOutcome(evidence);
        }
    }

    /** Returns a failure if the response belongs to another request or attempt, otherwise the evidence unchanged. */
    private static AttemptResult verifyRequest(
            Target target, int attempt, PlacementRequest placementRequest, AttemptResult evidence) {
        if (!(evidence instanceof AttemptResult.Answered answered)
                || answered.answer().status() != 200
                || target.peer()) {
            return evidence;
        }
        Map<String, String> headers = answered.answer().headers();
        boolean matches =
                headers.get("x-request-id").equals(placementRequest.request().name())
                        && headers.get("x-attempt").equals(Integer.toString(attempt));
        return matches
                ? evidence
                : new AttemptResult.TruncatedResponse(
                        target.id(),
                        Refusal.of(
                                RefusalType.BACKEND_FAILED,
                                "server " + target.id() + " sent a response to another request or attempt",
                                ExecutionStatus.RAN));
    }

    private void recordCrashIfRefused(Target target, PlacementRequest placementRequest, AtomicReference<Call> call) {
        boolean refused = !target.peer()
                && dependencies
                                .engines()
                                .resume(
                                        StreamClient.resumeRequest(target.address(), placementRequest.request(), 0),
                                        call::set)
                        instanceof StreamClient.ResumeResult.Refused;
        if (refused) {
            dependencies.crashTracker().recordCrash(target.id());
        }
    }
}
