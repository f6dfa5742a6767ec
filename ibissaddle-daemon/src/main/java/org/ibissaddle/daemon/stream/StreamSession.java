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
import org.ibissaddle.daemon.backend.StreamClient.ResumeResult;
import org.ibissaddle.daemon.backend.StreamClient.StartResult;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.dispatch.Dispatch;
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

    private final ModelCallDependencies dependencies;
    private final UpstreamRequests requests;
    private final AttemptPlacer placer;
    private final PlacementRequest placementRequest;
    private final ClientResponseWriter reply;
    private final long arrivedAtMs;
    private final ResponseSequencer sequencer;
    private final StreamRecovery recovery;
    private final AtomicReference<Call> call = new AtomicReference<>();
    private final AtomicReference<Target> currentTarget = new AtomicReference<>();
    private Optional<PlacementPolicy.DispatchHandle> dispatchHandle = Optional.empty();
    private Optional<String> lastEventId = Optional.empty();
    private boolean firstEvent = true;

    StreamSession(
            ModelCallDependencies dependencies,
            UpstreamRequests requests,
            AttemptPlacer placer,
            PlacementRequest placementRequest,
            ClientResponseWriter reply,
            long arrivedAtMs) {
        this.dependencies = dependencies;
        this.requests = requests;
        this.placer = placer;
        this.placementRequest = placementRequest;
        this.reply = reply;
        this.arrivedAtMs = arrivedAtMs;
        this.sequencer = ResponseSequencer.of(placementRequest.request(), MAX_RETAINED_CHARS);
        this.recovery = new StreamRecovery(
                sequencer, placementRequest.deadlineMs(), dependencies.budgets().of(placementRequest.pool()));
    }

    /**
     * Relays the response until it ends.
     *
     * @throws RefusedException if the call fails before the response has started; later failures end the response with
     *     an error event
     * @throws IOException if the caller has disconnected
     */
    void run() throws RefusedException, IOException {
        reply.onDisconnect(this::onDisconnect);
        try (placer) {
            Optional<Response> response = start();
            if (response.isPresent()) {
                relayToEnd(response.get());
            }
        } catch (IncompleteResponseException e) {
            endWithError(e.refusal());
        } finally {
            endAttempt(sequencer.isComplete());
        }
    }

    private Optional<Response> start() throws RefusedException, IOException {
        Dispatch dispatch = dependencies.startDispatch(placementRequest);
        Step step = dispatch.first();
        while (step instanceof Step.SelectServer place) {
            if (place.attempt() > 0) {
                sequencer.newAttempt(place.attempt());
            }
            StartResult startResult = startAttempt(place.tried(), Optional.empty());
            if (startResult instanceof StartResult.Streaming streaming) {
                return Optional.of(streaming.response());
            }
            step = dispatch.next(
                    ((StartResult.Failed) startResult).evidence(),
                    dependencies.clock().nowMs());
        }
        OutcomeResponse.send(
                ((Step.Finish) step).outcome(), dependencies.settings().instance(), reply);
        return Optional.empty();
    }

    private StartResult startAttempt(Set<ServerId> tried, Optional<String> text) {
        Target target;
        try {
            target = placer.next(tried);
        } catch (RefusedException e) {
            return new StartResult.Failed(new AttemptResult.NoServerAvailable(e.refusal()), false);
        }
        endAttempt(false);
        currentTarget.set(target);
        dispatchHandle = Optional.of(dependencies
                .policy()
                .recordDispatch(
                        placementRequest,
                        target.placement(),
                        dependencies.clock().nowMs()));
        Request request = requests.start(target, sequencer.attempt(), text);
        StartResult startResult = dependencies.engines().start(target.id(), request, call::set);
        if (startResult instanceof StartResult.Failed failure && !target.peer()) {
            dependencies.state().observations().recordOutcome(failure.evidence());
        }
        if (startResult instanceof StartResult.Streaming) {
            dependencies.crashTracker().recordAccepted(target.id());
        }
        if (startResult instanceof StartResult.Failed failed
                && failed.evidence() instanceof AttemptResult.LostAfterWrite) {
            return resumeAfterLostStart(target, failed);
        }
        return startResult;
    }

    /**
     * Tries to resume the response if the request was written but no response was received, because the engine may have
     * accepted the request. Records a crash if the engine refuses the connection.
     */
    private StartResult resumeAfterLostStart(Target target, StartResult.Failed failed) {
        if (target.peer() || dependencies.clock().nowMs() >= placementRequest.deadlineMs()) {
            return failed;
        }
        Request request =
                StreamClient.resumeRequest(target.address(), placementRequest.request(), sequencer.relayedChars());
        return switch (dependencies.engines().resume(request, call::set)) {
            case ResumeResult.Streaming streaming -> new StartResult.Streaming(streaming.response());
            case ResumeResult.Refused refused -> {
                dependencies.crashTracker().recordCrash(target.id());
                yield failed;
            }
            case ResumeResult.UnknownStream unknown -> failed;
            case ResumeResult.NoResponse timedOut -> failed;
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
            EventRelay relay = new EventRelay(sequencer, idCodec(target), reply, this::onRelayed);
            EventRelay.ConnectionEnd end = relay.relay(response);
            lastEventId = relay.lastEventId().or(() -> lastEventId);
            if (end == EventRelay.ConnectionEnd.COMPLETE) {
                reply.end();
                dependencies.crashTracker().recordCompletion(requests.body());
                return;
            }
            dependencies
                    .log()
                    .debug("answer-cut", "request", placementRequest.request(), "server", target.id(), "end", end);
            response = recover(target, end == EventRelay.ConnectionEnd.SILENT);
        }
    }

    private Response recover(Target interrupted, boolean timedOut) throws IncompleteResponseException {
        Target target = interrupted;
        boolean serverLost = false;
        RecoveryAction next =
                recovery.onConnectionLost(target.id(), dependencies.clock().nowMs());
        while (true) {
            boolean leavesServer = !(next instanceof RecoveryAction.Resume);
            if (leavesServer && serverLost) {
                dependencies.crashTracker().recordCrash(target.id());
                serverLost = false;
            }
            switch (next) {
                case RecoveryAction.Fail fail -> throw new IncompleteResponseException(fail.refusal());
                case RecoveryAction.Resume resume -> {
                    ResumeResult resumeResult = dependencies
                            .engines()
                            .resume(requests.resume(target, resume.offset(), lastEventId), call::set);
                    if (resumeResult instanceof ResumeResult.Streaming streaming) {
                        if (timedOut) {
                            recovery.resumeSucceeded();
                        }
                        return streaming.response();
                    }
                    serverLost = resumeResult instanceof ResumeResult.Refused
                            || resumeResult instanceof ResumeResult.UnknownStream;
                    next = afterFailedResume(target, resumeResult);
                }
                case RecoveryAction.Restart restart -> {
                    sequencer.newAttempt(restart.attempt());
                    StartResult startResult = startAttempt(restart.tried(), Optional.empty());
                    if (startResult instanceof StartResult.Streaming streaming) {
                        return streaming.response();
                    }
                    next = afterFailedStart(startResult);
                    target = currentTarget.get();
                }
                case RecoveryAction.Continue continuation -> {
                    sequencer.newAttempt(continuation.attempt());
                    StartResult startResult = startAttempt(continuation.tried(), Optional.of(continuation.text()));
                    if (startResult instanceof StartResult.Streaming streaming) {
                        return streaming.response();
                    }
                    next = afterFailedStart(startResult);
                    target = currentTarget.get();
                }
            }
        }
    }

    private RecoveryAction afterFailedResume(Target target, ResumeResult resumeResult) {
        long nowMs = dependencies.clock().nowMs();
        return resumeResult instanceof ResumeResult.UnknownStream
                ? recovery.onServerLost(target.id(), nowMs)
                : recovery.onConnectionLost(target.id(), nowMs);
    }

    private RecoveryAction afterFailedStart(StartResult startResult) throws IncompleteResponseException {
        AttemptResult evidence = ((StartResult.Failed) startResult).evidence();
        if (evidence instanceof AttemptResult.NoServerAvailable noServer) {
            throw new IncompleteResponseException(noServer.refusal().withExecutionStatus(ExecutionStatus.RAN));
        }
        if (evidence instanceof AttemptResult.Answered) {
            throw new IncompleteResponseException(Refusal.of(
                    RefusalType.ANSWER_CUT, "no server was able to continue the response", ExecutionStatus.RAN));
        }
        return recovery.onServerLost(
                currentTarget.get().id(), dependencies.clock().nowMs());
    }

    private void endWithError(Refusal refusal) throws IOException, RefusedException {
        dependencies.log().warning("answer-cut", "request", placementRequest.request(), "cause", refusal.message());
        if (!reply.started()) {
            throw new RefusedException(refusal);
        }
        String data = new String(RefusalJson.encode(refusal), StandardCharsets.UTF_8);
        reply.sendChunk(("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        reply.end();
    }

    private EventRelay.EventIdCodec idCodec(Target target) {
        return target.peer()
                ? EventIdCodecs.forPeer(sequencer, placementRequest, dependencies.tokens())
                : EventIdCodecs.forEngine(
                        dependencies.settings().instance(), target, placementRequest, sequencer, dependencies.tokens());
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "text/event-stream");
        headers.put(GatewayHeaders.REQUEST_ID, placementRequest.request().name());
        headers.put(GatewayHeaders.INSTANCE, dependencies.settings().instance().name());
        headers.put(GatewayHeaders.SERVER, currentTarget.get().id().name());
        return headers;
    }

    private void onRelayed() {
        if (firstEvent) {
            firstEvent = false;
            long nowMs = dependencies.clock().nowMs();
            dispatchHandle.ifPresent(handle -> handle.firstToken(nowMs));
            dependencies.firstToken().update(nowMs - arrivedAtMs, TimeUnit.MILLISECONDS);
        }
        dispatchHandle.ifPresent(handle -> handle.generated(1));
    }

    private void endAttempt(boolean succeeded) {
        dispatchHandle.ifPresent(
                handle -> handle.completed(succeeded, dependencies.clock().nowMs()));
        dispatchHandle = Optional.empty();
    }

    private void onDisconnect() {
        Optional.ofNullable(call.get()).ifPresent(Call::cancel);
        Optional.ofNullable(currentTarget.get())
                .filter(target -> !target.peer())
                .ifPresent(target -> dependencies.claims().cancelUnlessClaimed(target, placementRequest.request()));
    }
}
