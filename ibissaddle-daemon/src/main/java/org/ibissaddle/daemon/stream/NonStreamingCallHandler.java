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
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.Evidence;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Step;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;

/** Handles model calls whose response is a single JSON object. */
final class NonStreamingCallHandler {
    private final ModelContext context;

    NonStreamingCallHandler(ModelContext context) {
        this.context = context;
    }

    void serve(Work work, UpstreamRequests requests, AttemptPlacer placer, CallerReply reply)
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
            while (step instanceof Step.Place place) {
                Evidence evidence = attempt(place, work, requests, placer, call);
                step = dispatch.next(evidence, context.clock().nowMs());
            }
            respond(((Step.Finish) step).outcome(), reply);
            context.crashes().recordCompletion(requests.body());
        }
    }

    private Evidence attempt(
            Step.Place step, Work work, UpstreamRequests requests, AttemptPlacer placer, AtomicReference<Call> call) {
        Target target;
        try {
            target = placer.next(step.tried());
        } catch (RefusedException e) {
            return new Evidence.NoPlace(e.refusal());
        }
        PlacementPolicy.Running dispatchHandle = context.policy()
                .started(work, target.placement(), context.clock().nowMs());
        Opened.Failed result = context.engines()
                .fetch(
                        target.id(),
                        requests.start(target, step.attempt(), java.util.Optional.empty()),
                        work.deadlineMs() - context.clock().nowMs(),
                        call::set);
        Evidence evidence = verifyRequest(target, step.attempt(), work, result.evidence());
        observe(target, evidence);
        if (evidence instanceof Evidence.Answered) {
            context.crashes().recordAccepted(target.id());
        }
        dispatchHandle.ended(
                evidence instanceof Evidence.Answered, context.clock().nowMs());
        if (evidence instanceof Evidence.LostAfterWrite || evidence instanceof Evidence.CutAnswer) {
            recordCrashIfRefused(target, work, call);
        }
        return evidence;
    }

    private void observe(Target target, Evidence evidence) {
        if (!target.peer()) {
            context.state().observations().observe(evidence);
        }
    }

    /** Returns a failure if the response belongs to another request or attempt, otherwise the evidence unchanged. */
    private static Evidence verifyRequest(Target target, int attempt, Work work, Evidence evidence) {
        if (!(evidence instanceof Evidence.Answered answered)
                || answered.answer().status() != 200
                || target.peer()) {
            return evidence;
        }
        Map<String, String> headers = answered.answer().headers();
        boolean matches = headers.get("x-request-id").equals(work.request().name())
                && headers.get("x-attempt").equals(Integer.toString(attempt));
        return matches
                ? evidence
                : new Evidence.CutAnswer(
                        target.id(),
                        Refusal.of(
                                RefusalType.BACKEND_FAILED,
                                "server " + target.id() + " sent a response to another request or attempt",
                                Fate.RAN));
    }

    private void recordCrashIfRefused(Target target, Work work, AtomicReference<Call> call) {
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
