package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.daemon.http.CallFailure;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.daemon.http.ResponseListener;
import org.ibissaddle.dispatch.AttemptPolicy.ExecutionEvidence;
import org.ibissaddle.platform.PlatformHeaders;

/** One attempt to send a request to a backend server or another instance. */
final class Attempt implements ResponseListener {
    private static final int MISDIRECTED = 421;
    /** Time to wait for the end of a rejection, so that its connection can be reused, milliseconds. */
    private static final long MAX_REJECTION_BODY_MS = 100;

    private final GatewayCore core;
    private final RequestExchange exchange;
    private final Endpoint endpoint;
    private final Optional<BackendServer> server;
    private final Optional<BackendServer.RequestHandle> placed;
    private final RequestDemand demand;
    private final String requestId;
    private final long sentMs;
    private final OptionalLong serverStartedMs;
    private HttpClient.Call call;
    private HttpResponse head;
    private Optional<Rejection> rejection = Optional.empty();
    private long lastContentMs;
    private boolean secondResponse;
    private boolean finished;

    private record Rejection(ExecutionEvidence evidence, boolean countsAsRetry, String reason) {}

    Attempt(
            GatewayCore core,
            RequestExchange exchange,
            Endpoint endpoint,
            Optional<BackendServer> server,
            Optional<BackendServer.RequestHandle> placed,
            RequestDemand demand,
            String requestId) {
        this.core = core;
        this.exchange = exchange;
        this.endpoint = endpoint;
        this.server = server;
        this.placed = placed;
        this.demand = demand;
        this.requestId = requestId;
        this.sentMs = core.nowMs();
        this.serverStartedMs = server.map(to -> to.entry().startedMs()).orElse(OptionalLong.empty());
    }

    void start(HttpRequest request, ByteBuf body, HttpClient.SendOptions options) {
        call = core.client().send(endpoint, request, body, options, this);
        if (finished) {
            call.cancel();
        }
    }

    /** Whether the request was sent to a backend server and not to another instance. */
    boolean isToServer() {
        return server.isPresent();
    }

    String target() {
        return endpoint.name();
    }

    void cancel() {
        if (finished) {
            return;
        }
        finish();
        if (call != null) {
            call.cancel();
        }
    }

    void setAutoRead(boolean reading) {
        if (call != null) {
            call.setAutoRead(reading);
        }
    }

    @Override
    public boolean isStillWanted() {
        return !finished && exchange.isStillWanted();
    }

    @Override
    public void onResponseHead(HttpResponse response) {
        if (finished) {
            return;
        }
        head = response;
        server.ifPresent(from -> core.serverSignals().record(from, response));
        rejection = checkResponse(response);
        if (rejection.isEmpty()) {
            exchange.relay().onHead(response);
            return;
        }
        Rejection rejected = rejection.get();
        core.schedule(() -> endUnfinished(rejected), MAX_REJECTION_BODY_MS);
    }

    @Override
    public void onContent(ByteBuf content) {
        if (finished || rejection.isPresent()) {
            return;
        }
        recordTimeToFirstContent();
        recordContentGap();
        exchange.relay().onContent(content);
        Optional<ResponseRelay.StreamError> streamError = exchange.relay().streamError();
        if (streamError.isPresent()) {
            if (streamError.get().fromServer()) {
                recordServerFailure();
            }
            endUnfinished(new Rejection(
                    ExecutionEvidence.MAY_HAVE_RUN, true, streamError.get().reason()));
            return;
        }
        if (!exchange.relay().isWritable()) {
            call.setAutoRead(false);
        }
    }

    @Override
    public void onSecondResponse() {
        secondResponse = true;
        long bytesBefore = exchange.relay().receivedBytes();
        core.log().notice("second-answer", "request", requestId, "target", target(), "bytesBefore", bytesBefore);
    }

    @Override
    public void onComplete() {
        if (finished) {
            return;
        }
        if (rejection.isPresent()) {
            fail(rejection.get());
            return;
        }
        if (exchange.relay().isTruncated()) {
            if (!secondResponse) {
                recordConnectionLost();
            }
            recordServerFailure();
            String reason = "stream truncated after " + exchange.relay().partialEventBytes() + " bytes of an event";
            fail(new Rejection(ExecutionEvidence.MAY_HAVE_RUN, true, reason));
            return;
        }
        recordTimeToFirstContent();
        finish();
        if (isServerFailure(head)) {
            recordServerFailure();
        } else {
            server.ifPresent(BackendServer::recordSuccess);
        }
        if (server.isPresent() && exchange.relay().isFramed()) {
            recordSurvival();
        }
        int status = head.status().code();
        exchange.relay().onEnd();
        exchange.onResponseComplete(this, status);
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (finished) {
            return;
        }
        switch (failure) {
            case CallFailure.NotSent notSent -> {
                recordUnreachable();
                recordServerFailure();
                fail(new Rejection(ExecutionEvidence.NOT_RUN, false, notSent.reason()));
            }
            case CallFailure.ConnectionLost lost -> {
                recordConnectionLost();
                if (!lost.reused()) {
                    recordServerFailure();
                }
                failAfterSending(lost);
            }
            case CallFailure.InvalidResponse invalid -> {
                // Another server may use the address by now, so that a health check is due as well.
                server.ifPresent(core.healthChecker()::markSuspect);
                recordServerFailure();
                failAfterSending(invalid);
            }
            case CallFailure.LocalError error -> {
                if (error.sent()) {
                    failAfterSending(error);
                } else {
                    fail(new Rejection(ExecutionEvidence.NOT_RUN, false, error.reason()));
                }
            }
        }
    }

    private void failAfterSending(CallFailure failure) {
        ExecutionEvidence evidence = rejection.map(Rejection::evidence).orElse(ExecutionEvidence.MAY_HAVE_RUN);
        fail(new Rejection(evidence, true, failure.reason()));
    }

    private Optional<Rejection> checkResponse(HttpResponse response) {
        int status = response.status().code();
        String echoed = response.headers().get(PlatformHeaders.REQUEST_ID);
        boolean notRun = response.headers().contains(PlatformHeaders.NOT_RUN);
        boolean fromInstance = server.isEmpty() && response.headers().contains(InternalHeaders.OUTCOME);
        if (fromInstance) {
            core.peers().recordRefusal(endpoint.address(), exchange.service());
            exchange.retryTime().recordPeerRefusal(response);
            boolean provenNotRun =
                    InternalHeaders.NOT_RUN.equals(response.headers().get(InternalHeaders.OUTCOME));
            return Optional.of(new Rejection(
                    provenNotRun ? ExecutionEvidence.NOT_RUN : ExecutionEvidence.MAY_HAVE_RUN,
                    InternalHeaders.mayHaveReachedServer(response.headers()),
                    "instance returned status " + status));
        }
        if (echoed != null && !echoed.equals(requestId)) {
            core.log().notice("foreign-answer", "request", requestId, "target", target(), "answers", echoed);
            call.cancel();
            return rejectAndClose("response to another request");
        }
        if (echoed == null && !requestId.isEmpty() && call.isConnectionReused()) {
            core.log().notice("answer-without-id", "request", requestId, "target", target(), "status", status);
            call.cancel();
            return rejectAndClose("response without a request id, which may be that to an earlier request");
        }
        if (status == MISDIRECTED) {
            server.ifPresent(core.healthChecker()::markSuspect);
            return Optional.of(new Rejection(ExecutionEvidence.NOT_RUN, true, "address is in use by another server"));
        }
        if (notRun) {
            return Optional.of(new Rejection(ExecutionEvidence.NOT_RUN, true, "rejected with status " + status));
        }
        boolean signed = response.headers().contains(PlatformHeaders.SIGNATURE);
        boolean encoded = response.headers().contains("Content-Encoding");
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && (!signed || encoded || echoed == null)) {
            call.cancel();
            return rejectAndClose(
                    "response without the server's signature or the request id, or with a content encoding");
        }
        if (exchange.relay().isStarted() && !exchange.relay().isContinuedBy(response)) {
            String reason = "resume request returned status " + status + ", content type "
                    + response.headers().get("Content-Type");
            return Optional.of(new Rejection(ExecutionEvidence.MAY_HAVE_RUN, true, reason));
        }
        if (isServerFailure(response) && exchange.isRepeatable() && exchange.canRetry(ExecutionEvidence.MAY_HAVE_RUN)) {
            recordServerFailure();
            return Optional.of(new Rejection(ExecutionEvidence.MAY_HAVE_RUN, true, "status " + status));
        }
        return Optional.empty();
    }

    /** Rejects a response at once, without waiting for its end, because the connection is no longer reliable. */
    private Optional<Rejection> rejectAndClose(String reason) {
        Rejection rejected = new Rejection(ExecutionEvidence.MAY_HAVE_RUN, true, reason);
        recordServerFailure();
        core.execute(() -> endUnfinished(rejected));
        return Optional.of(rejected);
    }

    /** Ends the attempt without waiting for the end of the response. */
    private void endUnfinished(Rejection rejected) {
        if (finished) {
            return;
        }
        call.cancel();
        fail(rejected);
    }

    private void fail(Rejection rejected) {
        finish();
        exchange.relay().discardBuffered();
        exchange.onAttemptFailed(this, rejected.evidence(), rejected.countsAsRetry(), rejected.reason());
    }

    private void recordTimeToFirstContent() {
        placed.ifPresent(at -> {
            if (at.firstChunkReceived()) {
                core.backends().recordFirstChunk(at, core.nowMs() - sentMs, core.nowMs());
                core.onCapacityChanged(exchange.service());
            }
        });
    }

    private void recordContentGap() {
        long nowMs = core.nowMs();
        if (lastContentMs > 0 && demand.promptTokens() > 0) {
            server.ifPresent(from -> core.backends().recordEventGap(from, nowMs - lastContentMs, nowMs));
        }
        lastContentMs = nowMs;
    }

    /** The server has closed the connection. A health check shows whether it has crashed. */
    private void recordConnectionLost() {
        server.ifPresent(lost -> {
            if (rejection.isEmpty()) {
                core.crashGuard().recordConnectionLost(lost, serverStartedMs, exchange.content());
            }
            core.healthChecker().markSuspect(lost);
        });
    }

    /** The server has survived the request. A failure that it reports may precede the work on the request. */
    private void recordSurvival() {
        if (!isServerFailure(head)) {
            core.crashGuard().recordRequestCompletion(exchange.content());
        }
        if (head.status().equals(HttpResponseStatus.OK)) {
            core.crashGuard().recordPromptCompletion(exchange.content());
        }
    }

    private void recordUnreachable() {
        if (server.isPresent()) {
            core.healthChecker().markSuspect(server.get());
        } else {
            core.peers().markUnreachable(endpoint.address(), core.nowMs());
        }
    }

    private void recordServerFailure() {
        server.ifPresent(failedServer -> {
            if (failedServer.recordFailure(core.nowMs())) {
                core.log().notice("server-ejected", "server", target());
            }
        });
    }

    private void finish() {
        finished = true;
        placed.ifPresent(BackendServer.RequestHandle::ended);
        if (server.isPresent()) {
            core.onCapacityChanged(exchange.service());
        }
    }

    private static boolean isServerFailure(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.SERVER_ERROR
                && !response.status().equals(HttpResponseStatus.GATEWAY_TIMEOUT);
    }
}
