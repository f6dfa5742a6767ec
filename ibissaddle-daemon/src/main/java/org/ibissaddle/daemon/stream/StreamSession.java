package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.backend.StreamClient.Opened;
import org.ibissaddle.daemon.backend.StreamClient.Resumed;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.Evidence;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Step;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;
import org.ibissaddle.stream.AnswerGuard;
import org.ibissaddle.stream.Recovery;
import org.ibissaddle.stream.StreamRecovery;

/** One streamed answer from its first attempt to its end, over cuts and lost engines. */
final class StreamSession {
    private static final int KEPT_CHARS = 256 * 1024;

    private final ModelContext context;
    private final EngineRequests requests;
    private final EnginePlaces places;
    private final Work work;
    private final CallerReply reply;
    private final long arrivedAtMs;
    private final AnswerGuard guard;
    private final StreamRecovery recovery;
    private final AtomicReference<Call> call = new AtomicReference<>();
    private final AtomicReference<Target> at = new AtomicReference<>();
    private Optional<PlacementPolicy.Running> running = Optional.empty();
    private Optional<String> lastId = Optional.empty();
    private boolean first = true;

    StreamSession(
            ModelContext context,
            EngineRequests requests,
            EnginePlaces places,
            Work work,
            CallerReply reply,
            long arrivedAtMs) {
        this.context = context;
        this.requests = requests;
        this.places = places;
        this.work = work;
        this.reply = reply;
        this.arrivedAtMs = arrivedAtMs;
        this.guard = AnswerGuard.of(work.request(), KEPT_CHARS);
        this.recovery =
                new StreamRecovery(guard, work.deadlineMs(), context.budgets().of(work.pool()));
    }

    /** Runs to the end of the answer. Whatever has not begun is refused; whatever was cut ends with an error event. */
    void run() throws RefusedException, IOException {
        reply.onGone(this::callerGone);
        try (places) {
            Optional<Response> begun = begin();
            if (begun.isPresent()) {
                follow(begun.get());
            }
        } catch (AnswerCutException e) {
            endWithError(e.refusal());
        } finally {
            ended(guard.complete());
        }
    }

    private Optional<Response> begin() throws RefusedException, IOException {
        Dispatch dispatch =
                Dispatch.repeatable(work.deadlineMs(), context.budgets().of(work.pool()));
        Step step = dispatch.first();
        while (step instanceof Step.Place place) {
            if (place.attempt() > 0) {
                guard.newAttempt(place.attempt());
            }
            Opened opened = open(place.tried(), Optional.empty());
            if (opened instanceof Opened.Streaming streaming) {
                return Optional.of(streaming.response());
            }
            step = dispatch.next(
                    ((Opened.Failed) opened).evidence(), context.clock().nowMs());
        }
        finish(((Step.Finish) step).outcome());
        return Optional.empty();
    }

    private Opened open(Set<ServerId> tried, Optional<String> text) {
        Target target;
        try {
            target = places.next(tried);
        } catch (RefusedException e) {
            return new Opened.Failed(new Evidence.NoPlace(e.refusal()), false);
        }
        ended(false);
        at.set(target);
        running = Optional.of(context.policy()
                .started(work, target.placement(), context.clock().nowMs()));
        Request request = requests.start(target, guard.attempt(), text);
        Opened opened = context.engines().start(target.id(), request, call::set);
        if (opened instanceof Opened.Streaming) {
            context.crashes().alive(target.id());
        }
        if (opened instanceof Opened.Failed failed && failed.evidence() instanceof Evidence.LostAfterWrite) {
            return afterLostStart(target, failed);
        }
        return opened;
    }

    /** The engine may have taken the request though its answer was lost: read it there, or see that it is gone. */
    private Opened afterLostStart(Target target, Opened.Failed failed) {
        if (target.peer() || context.clock().nowMs() >= work.deadlineMs()) {
            return failed;
        }
        Request request = StreamClient.at(target.address(), work.request(), guard.relayed());
        return switch (context.engines().resume(request, call::set)) {
            case Resumed.Streaming streaming -> new Opened.Streaming(streaming.response());
            case Resumed.Refused refused -> {
                context.crashes().crashed(target.id());
                yield failed;
            }
            case Resumed.Unknown unknown -> failed;
            case Resumed.Silent silent -> failed;
        };
    }

    private void follow(Response begun) throws IOException, AnswerCutException, RefusedException {
        Response response = begun;
        while (true) {
            if (!reply.started()) {
                reply.start(200, headers());
            }
            Target target = at.get();
            EventRelay relay = new EventRelay(guard, ids(target), reply, this::relayed);
            EventRelay.End end = relay.relay(response);
            lastId = relay.lastId().or(() -> lastId);
            if (end == EventRelay.End.COMPLETE) {
                reply.end();
                context.crashes().completed(requests.body());
                return;
            }
            context.log().fine("answer-cut", "request", work.request(), "server", target.id(), "end", end);
            response = recover(target, end == EventRelay.End.SILENT);
        }
    }

    private Response recover(Target cut, boolean silent) throws AnswerCutException {
        Target target = cut;
        boolean gone = false;
        Recovery next = recovery.afterCut(target.id(), context.clock().nowMs());
        while (true) {
            boolean elsewhere = !(next instanceof Recovery.Resume);
            if (elsewhere && gone) {
                context.crashes().crashed(target.id());
                gone = false;
            }
            switch (next) {
                case Recovery.Fail fail -> throw new AnswerCutException(fail.refusal());
                case Recovery.Resume resume -> {
                    Resumed resumed =
                            context.engines().resume(requests.resume(target, resume.offset(), lastId), call::set);
                    if (resumed instanceof Resumed.Streaming streaming) {
                        if (silent) {
                            recovery.stillThere();
                        }
                        return streaming.response();
                    }
                    gone = resumed instanceof Resumed.Refused || resumed instanceof Resumed.Unknown;
                    next = afterVainResume(target, resumed);
                }
                case Recovery.Restart restart -> {
                    guard.newAttempt(restart.attempt());
                    Opened opened = open(restart.tried(), Optional.empty());
                    if (opened instanceof Opened.Streaming streaming) {
                        return streaming.response();
                    }
                    next = afterVainStart(opened);
                    target = at.get();
                }
                case Recovery.Continue more -> {
                    guard.newAttempt(more.attempt());
                    Opened opened = open(more.tried(), Optional.of(more.text()));
                    if (opened instanceof Opened.Streaming streaming) {
                        return streaming.response();
                    }
                    next = afterVainStart(opened);
                    target = at.get();
                }
            }
        }
    }

    private Recovery afterVainResume(Target target, Resumed resumed) {
        long nowMs = context.clock().nowMs();
        return resumed instanceof Resumed.Unknown
                ? recovery.afterLoss(target.id(), nowMs)
                : recovery.afterCut(target.id(), nowMs);
    }

    private Recovery afterVainStart(Opened opened) throws AnswerCutException {
        Evidence evidence = ((Opened.Failed) opened).evidence();
        if (evidence instanceof Evidence.NoPlace none) {
            throw new AnswerCutException(none.refusal().withFate(Fate.RAN));
        }
        if (evidence instanceof Evidence.Answered) {
            throw new AnswerCutException(
                    Refusal.of(RefusalType.ANSWER_CUT, "no server could continue the answer", Fate.RAN));
        }
        return recovery.afterLoss(at.get().id(), context.clock().nowMs());
    }

    private void finish(Outcome outcome) throws RefusedException, IOException {
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

    private void endWithError(Refusal refusal) throws IOException, RefusedException {
        context.log().warning("answer-cut", "request", work.request(), "cause", refusal.message());
        if (!reply.started()) {
            throw new RefusedException(refusal);
        }
        String data = new String(RefusalJson.encode(refusal), StandardCharsets.UTF_8);
        reply.piece(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        reply.end();
    }

    private EventRelay.Ids ids(Target target) {
        return target.peer()
                ? EventIds.ofPeer(guard, work, context.tokens())
                : EventIds.ofEngine(context.settings().instance(), target, work, guard, context.tokens());
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "text/event-stream");
        headers.put(Headers.REQUEST_ID, work.request().name());
        headers.put(Headers.INSTANCE, context.settings().instance().name());
        headers.put(Headers.SERVER, at.get().id().name());
        return headers;
    }

    private void relayed() {
        if (first) {
            first = false;
            long nowMs = context.clock().nowMs();
            running.ifPresent(one -> one.firstToken(nowMs));
            context.firstToken().update(nowMs - arrivedAtMs, TimeUnit.MILLISECONDS);
        }
        running.ifPresent(one -> one.generated(1));
    }

    private void ended(boolean succeeded) {
        running.ifPresent(one -> one.ended(succeeded, context.clock().nowMs()));
        running = Optional.empty();
    }

    private void callerGone() {
        Optional.ofNullable(call.get()).ifPresent(Call::cancel);
        Optional.ofNullable(at.get())
                .filter(target -> !target.peer())
                .ifPresent(target -> context.claims().cancelUnlessClaimed(target, work.request()));
    }
}
