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
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.dispatch.Dispatch;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.Step;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.stream.RecoveryAction;
import org.ibissaddle.stream.ResponseSequencer;
import org.ibissaddle.stream.StreamRecovery;

/** Relays one streamed response to the caller and recovers it from lost connections and lost engines. */
final class StreamSession {
    private static final int MAX_RETAINED_CHARS = 256 * 1024;

    private final ModelContext context;
    private final UpstreamRequests requests;
    private final AttemptPlacer placer;
    private final PlacementRequest work;
    private final CallerReply reply;
    private final long arrivedAtMs;
    private final ResponseSequencer guard;
    private final StreamRecovery recovery;
    private final AtomicReference<Call> call = new AtomicReference<>();
    private final AtomicReference<Target> currentTarget = new AtomicReference<>();
    private Optional<PlacementPolicy.DispatchHandle> dispatchHandle = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();
    private boolean firstEvent = true;

    StreamSession(
            ModelContext context,
            UpstreamRequests requests,
            AttemptPlacer placer,
            PlacementRequest work,
            CallerReply reply,
            long arrivedAtMs) {
        this.context = context;
        this.requests = requests;
        this.placer = placer;
        this.work = work;
        this.reply = reply;
        this.arrivedAtMs = arrivedAtMs;
        this.guard = ResponseSequencer.of(work.request(), MAX_RETAINED_CHARS);
        this.recovery =
                new StreamRecovery(guard, work.deadlineMs(), context.budgets().of(work.pool()));
    }

    /**
     * Relays the response until it ends.
     *
     * @throws RefusedException if the call fails before the response has started; later failures end the response with
     *     an error event
     * @throws IOException if the caller has disconnected
     */
    void run() throws RefusedException, IOException {
        reply.onGone(this::onDisconnect);
        try (placer) {
            Optional<Response> response = start();
            if (response.isPresent()) {
                relayToEnd(response.get());
            }
        } catch (IncompleteResponseException e) {
            endWithError(e.refusal());
        } finally {
            endAttempt(guard.isComplete());
        }
    }

    private Optional<Response> start() throws RefusedException, IOException {
        Dispatch dispatch =
                Dispatch.repeatable(work.deadlineMs(), context.budgets().of(work.pool()));
        Step step = dispatch.first();
        while (step instanceof Step.SelectServer place) {
            if (place.attempt() > 0) {
                guard.newAttempt(place.attempt());
            }
            Opened opened = startAttempt(place.tried(), Optional.empty());
            if (opened instanceof Opened.Streaming streaming) {
                return Optional.of(streaming.response());
            }
            step = dispatch.next(
                    ((Opened.Failed) opened).evidence(), context.clock().nowMs());
        }
        respond(((Step.Finish) step).outcome());
        return Optional.empty();
    }

    private Opened startAttempt(Set<ServerId> tried, Optional<String> text) {
        Target target;
        try {
            target = placer.next(tried);
        } catch (RefusedException e) {
            return new Opened.Failed(new AttemptResult.NoServerAvailable(e.refusal()), false);
        }
        endAttempt(false);
        currentTarget.set(target);
        dispatchHandle = Optional.of(context.policy()
                .recordDispatch(work, target.placement(), context.clock().nowMs()));
        Request request = requests.start(target, guard.attempt(), text);
        Opened opened = context.engines().start(target.id(), request, call::set);
        if (opened instanceof Opened.Failed failure && !target.peer()) {
            context.state().observations().observe(failure.evidence());
        }
        if (opened instanceof Opened.Streaming) {
            context.crashes().recordAccepted(target.id());
        }
        if (opened instanceof Opened.Failed failed && failed.evidence() instanceof AttemptResult.LostAfterWrite) {
            return resumeAfterLostStart(target, failed);
        }
        return opened;
    }

    /**
     * Tries to resume the response if the request was written but no response was received, because the engine may have
     * accepted the request. Records a crash if the engine refuses the connection.
     */
    private Opened resumeAfterLostStart(Target target, Opened.Failed failed) {
        if (target.peer() || context.clock().nowMs() >= work.deadlineMs()) {
            return failed;
        }
        Request request = StreamClient.at(target.address(), work.request(), guard.relayedChars());
        return switch (context.engines().resume(request, call::set)) {
            case Resumed.Streaming streaming -> new Opened.Streaming(streaming.response());
            case Resumed.Refused refused -> {
                context.crashes().recordCrash(target.id());
                yield failed;
            }
            case Resumed.Unknown unknown -> failed;
            case Resumed.Silent timedOut -> failed;
        };
    }

    private void relayToEnd(Response initialResponse)
            throws IOException, IncompleteResponseException, RefusedException {
        Response response = initialResponse;
        while (true) {
            if (!reply.started()) {
                reply.start(200, headers());
            }
            Target target = currentTarget.get();
            EventRelay relay = new EventRelay(guard, idCodec(target), reply, this::onRelayed);
            EventRelay.ConnectionEnd end = relay.relay(response);
            lastEventId = relay.lastEventId().or(() -> lastEventId);
            if (end == EventRelay.ConnectionEnd.COMPLETE) {
                reply.end();
                context.crashes().recordCompletion(requests.body());
                return;
            }
            context.log().fine("answer-cut", "request", work.request(), "server", target.id(), "end", end);
            response = recover(target, end == EventRelay.ConnectionEnd.SILENT);
        }
    }

    private Response recover(Target interrupted, boolean timedOut) throws IncompleteResponseException {
        Target target = interrupted;
        boolean serverLost = false;
        RecoveryAction next =
                recovery.onConnectionLost(target.id(), context.clock().nowMs());
        while (true) {
            boolean leavesServer = !(next instanceof RecoveryAction.Resume);
            if (leavesServer && serverLost) {
                context.crashes().recordCrash(target.id());
                serverLost = false;
            }
            switch (next) {
                case RecoveryAction.Fail fail -> throw new IncompleteResponseException(fail.refusal());
                case RecoveryAction.Resume resume -> {
                    Resumed resumed =
                            context.engines().resume(requests.resume(target, resume.offset(), lastEventId), call::set);
                    if (resumed instanceof Resumed.Streaming streaming) {
                        if (timedOut) {
                            recovery.resumeSucceeded();
                        }
                        return streaming.response();
                    }
                    serverLost = resumed instanceof Resumed.Refused || resumed instanceof Resumed.Unknown;
                    next = afterFailedResume(target, resumed);
                }
                case RecoveryAction.Restart restart -> {
                    guard.newAttempt(restart.attempt());
                    Opened opened = startAttempt(restart.tried(), Optional.empty());
                    if (opened instanceof Opened.Streaming streaming) {
                        return streaming.response();
                    }
                    next = afterFailedStart(opened);
                    target = currentTarget.get();
                }
                case RecoveryAction.Continue continuation -> {
                    guard.newAttempt(continuation.attempt());
                    Opened opened = startAttempt(continuation.tried(), Optional.of(continuation.text()));
                    if (opened instanceof Opened.Streaming streaming) {
                        return streaming.response();
                    }
                    next = afterFailedStart(opened);
                    target = currentTarget.get();
                }
            }
        }
    }

    private RecoveryAction afterFailedResume(Target target, Resumed resumed) {
        long nowMs = context.clock().nowMs();
        return resumed instanceof Resumed.Unknown
                ? recovery.onServerLost(target.id(), nowMs)
                : recovery.onConnectionLost(target.id(), nowMs);
    }

    private RecoveryAction afterFailedStart(Opened opened) throws IncompleteResponseException {
        AttemptResult evidence = ((Opened.Failed) opened).evidence();
        if (evidence instanceof AttemptResult.NoServerAvailable noPlace) {
            throw new IncompleteResponseException(noPlace.refusal().withFate(ExecutionStatus.RAN));
        }
        if (evidence instanceof AttemptResult.Answered) {
            throw new IncompleteResponseException(Refusal.of(
                    RefusalType.ANSWER_CUT, "no server was able to continue the response", ExecutionStatus.RAN));
        }
        return recovery.onServerLost(currentTarget.get().id(), context.clock().nowMs());
    }

    private void respond(Outcome outcome) throws RefusedException, IOException {
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

    private EventRelay.EventIdCodec idCodec(Target target) {
        return target.peer()
                ? EventIdCodecs.forPeer(guard, work, context.tokens())
                : EventIdCodecs.forEngine(context.settings().instance(), target, work, guard, context.tokens());
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "text/event-stream");
        headers.put(Headers.REQUEST_ID, work.request().name());
        headers.put(Headers.INSTANCE, context.settings().instance().name());
        headers.put(Headers.SERVER, currentTarget.get().id().name());
        return headers;
    }

    private void onRelayed() {
        if (firstEvent) {
            firstEvent = false;
            long nowMs = context.clock().nowMs();
            dispatchHandle.ifPresent(handle -> handle.firstToken(nowMs));
            context.firstToken().update(nowMs - arrivedAtMs, TimeUnit.MILLISECONDS);
        }
        dispatchHandle.ifPresent(handle -> handle.generated(1));
    }

    private void endAttempt(boolean succeeded) {
        dispatchHandle.ifPresent(
                handle -> handle.completed(succeeded, context.clock().nowMs()));
        dispatchHandle = Optional.empty();
    }

    private void onDisconnect() {
        Optional.ofNullable(call.get()).ifPresent(Call::cancel);
        Optional.ofNullable(currentTarget.get())
                .filter(target -> !target.peer())
                .ifPresent(target -> context.claims().cancelUnlessClaimed(target, work.request()));
    }
}
