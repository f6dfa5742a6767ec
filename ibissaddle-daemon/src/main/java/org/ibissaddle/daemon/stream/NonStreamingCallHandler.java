package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Call;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.backend.StreamClient.Opened;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Step;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;

/** Handles model calls whose response is a single JSON object. */
final class NonStreamingCallHandler {
    private final ModelContext context;

    NonStreamingCallHandler(ModelContext context) {
        this.context = context;
    }

    void serve(PlacementRequest work, UpstreamRequests requests, AttemptPlacer placer, CallerReply reply)
            throws RefusedException, IOException {
        AtomicReference<Call> call = new AtomicReference<>();
        reply.onGone(() -> {
            if (call.get() != null) {
                call.get().cancel();
            }
        });
        Dispatch dispatch =
                Dispatch.repeatable(work.deadlineMs(), context.budgets().of(work.pool()));
        try (placer) {
            Step step = dispatch.first();
            while (step instanceof Step.SelectServer place) {
                AttemptResult evidence = attempt(place, work, requests, placer, call);
                step = dispatch.next(evidence, context.clock().nowMs());
            }
            respond(((Step.Finish) step).outcome(), reply);
            context.crashes().recordCompletion(requests.body());
        }
    }

    private AttemptResult attempt(
            Step.SelectServer step,
            PlacementRequest work,
            UpstreamRequests requests,
            AttemptPlacer placer,
            AtomicReference<Call> call) {
        Target target;
        try {
            target = placer.next(step.tried());
        } catch (RefusedException e) {
            return new AttemptResult.NoServerAvailable(e.refusal());
        }
        PlacementPolicy.DispatchHandle dispatchHandle = context.policy()
                .recordDispatch(work, target.placement(), context.clock().nowMs());
        Opened.Failed result = context.engines()
                .fetch(
                        target.id(),
                        requests.start(target, step.attempt(), java.util.Optional.empty()),
                        work.deadlineMs() - context.clock().nowMs(),
                        call::set);
        AttemptResult evidence = verifyRequest(target, step.attempt(), work, result.evidence());
        observe(target, evidence);
        if (evidence instanceof AttemptResult.Answered) {
            context.crashes().recordAccepted(target.id());
        }
        dispatchHandle.completed(
                evidence instanceof AttemptResult.Answered, context.clock().nowMs());
        if (evidence instanceof AttemptResult.LostAfterWrite || evidence instanceof AttemptResult.TruncatedResponse) {
            recordCrashIfRefused(target, work, call);
        }
        return evidence;
    }

    private void observe(Target target, AttemptResult evidence) {
        if (!target.peer()) {
            context.state().observations().observe(evidence);
        }
    }

    /** Returns a failure if the response belongs to another request or attempt, otherwise the evidence unchanged. */
    private static AttemptResult verifyRequest(
            Target target, int attempt, PlacementRequest work, AttemptResult evidence) {
        if (!(evidence instanceof AttemptResult.Answered answered)
                || answered.answer().status() != 200
                || target.peer()) {
            return evidence;
        }
        Map<String, String> headers = answered.answer().headers();
        boolean matches = headers.get("x-request-id").equals(work.request().name())
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

    private void recordCrashIfRefused(Target target, PlacementRequest work, AtomicReference<Call> call) {
        boolean refused = !target.peer()
                && context.engines().resume(StreamClient.at(target.address(), work.request(), 0), call::set)
                        instanceof StreamClient.Resumed.Refused;
        if (refused) {
            context.crashes().recordCrash(target.id());
        }
    }

    private void respond(Outcome outcome, CallerReply reply) throws RefusedException, IOException {
        switch (outcome) {
            case Outcome.Ran ran -> {
                Map<String, String> headers = new LinkedHashMap<>(ran.answer().headers());
                headers.put(Headers.INSTANCE, context.settings().instance().name());
                reply.whole(ran.answer().status(), headers, ran.answer().body());
            }
            case Outcome.FailedAfterRunning failed -> throw new RefusedException(failed.refusal());
            case Outcome.NotRun notRun -> throw new RefusedException(notRun.refusal());
            case Outcome.Unknown unknown -> throw new RefusedException(unknown.refusal());
        }
    }
}
