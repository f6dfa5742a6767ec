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

/** Serves model calls whose answer is one JSON object. */
final class WholeAnswers {
    private final ModelContext context;

    WholeAnswers(ModelContext context) {
        this.context = context;
    }

    /** Serves a call. */
    void serve(Work work, EngineRequests requests, EnginePlaces places, CallerReply reply)
            throws RefusedException, IOException {
        AtomicReference<Call> call = new AtomicReference<>();
        reply.onGone(() -> {
            if (call.get() != null) {
                call.get().cancel();
            }
        });
        Dispatch dispatch =
                Dispatch.repeatable(work.deadlineMs(), context.budgets().of(work.pool()));
        try (places) {
            Step step = dispatch.first();
            while (step instanceof Step.Place place) {
                Evidence evidence = attempt(place, work, requests, places, call);
                step = dispatch.next(evidence, context.clock().nowMs());
            }
            tell(((Step.Finish) step).outcome(), reply);
            context.crashes().completed(requests.body());
        }
    }

    private Evidence attempt(
            Step.Place step, Work work, EngineRequests requests, EnginePlaces places, AtomicReference<Call> call) {
        Target target;
        try {
            target = places.next(step.tried());
        } catch (RefusedException e) {
            return new Evidence.NoPlace(e.refusal());
        }
        PlacementPolicy.Running running = context.policy()
                .started(work, target.placement(), context.clock().nowMs());
        Opened.Failed heard = context.engines()
                .fetch(
                        target.id(),
                        requests.start(target, step.attempt(), java.util.Optional.empty()),
                        work.deadlineMs() - context.clock().nowMs(),
                        call::set);
        Evidence evidence = checked(target, step.attempt(), work, heard.evidence());
        if (evidence instanceof Evidence.Answered) {
            context.crashes().alive(target.id());
        }
        running.ended(evidence instanceof Evidence.Answered, context.clock().nowMs());
        if (evidence instanceof Evidence.LostAfterWrite || evidence instanceof Evidence.CutAnswer) {
            probe(target, work, call);
        }
        return evidence;
    }

    /** An answer for another request or attempt is none. */
    private static Evidence checked(Target target, int attempt, Work work, Evidence evidence) {
        if (!(evidence instanceof Evidence.Answered answered)
                || answered.answer().status() != 200
                || target.peer()) {
            return evidence;
        }
        Map<String, String> headers = answered.answer().headers();
        boolean own = headers.get("x-request-id").equals(work.request().name())
                && headers.get("x-attempt").equals(Integer.toString(attempt));
        return own
                ? evidence
                : new Evidence.CutAnswer(
                        target.id(),
                        Refusal.of(
                                RefusalType.BACKEND_FAILED,
                                "server " + target.id() + " answered another request",
                                Fate.RAN));
    }

    private void probe(Target target, Work work, AtomicReference<Call> call) {
        boolean gone = !target.peer()
                && context.engines().resume(StreamClient.at(target.address(), work.request(), 0), call::set)
                        instanceof StreamClient.Resumed.Refused;
        if (gone) {
            context.crashes().crashed(target.id());
        }
    }

    private void tell(Outcome outcome, CallerReply reply) throws RefusedException, IOException {
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
