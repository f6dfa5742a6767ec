package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.Work;
import org.ibissaddle.daemon.http.AnswerListener;
import org.ibissaddle.daemon.http.CallFailure;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.dispatch.AttemptPolicy.Evidence;
import org.ibissaddle.platform.HeaderValues;
import org.ibissaddle.platform.Headers;

/** One sending of a request to a backend server, or to another instance. */
final class Attempt implements AnswerListener {
    private static final int MISDIRECTED = 421;

    private final GatewayCore core;
    private final Exchange exchange;
    private final Endpoint endpoint;
    private final Optional<BackendServer> server;
    private final Optional<BackendServer.Placed> placed;
    private final Work work;
    private final String requestId;
    private final long sentMs;
    private HttpClient.Call call;
    private HttpResponse head;
    private Optional<Rejection> rejection = Optional.empty();
    private long lastPieceMs;
    private boolean over;

    private record Rejection(Evidence evidence, boolean arrived, String reason) {}

    Attempt(
            GatewayCore core,
            Exchange exchange,
            Endpoint endpoint,
            Optional<BackendServer> server,
            Optional<BackendServer.Placed> placed,
            Work work,
            String requestId) {
        this.core = core;
        this.exchange = exchange;
        this.endpoint = endpoint;
        this.server = server;
        this.placed = placed;
        this.work = work;
        this.requestId = requestId;
        this.sentMs = core.nowMs();
    }

    void start(HttpRequest request, ByteBuf body, HttpClient.SendOptions options) {
        call = core.client().send(endpoint, request, body, options, this);
        if (over) {
            call.cancel();
        }
    }

    String target() {
        return endpoint.name();
    }

    void cancel() {
        if (over) {
            return;
        }
        end();
        if (call != null) {
            call.cancel();
        }
    }

    void setReading(boolean reading) {
        if (call != null) {
            call.setReading(reading);
        }
    }

    @Override
    public void onHead(HttpResponse answer) {
        if (over) {
            return;
        }
        head = answer;
        HeaderValues.load(answer.headers().get(Headers.SERVER_LOAD))
                .ifPresent(load -> server.ifPresent(from -> from.reported(load, core.nowMs())));
        rejection = judge(answer);
        if (rejection.isEmpty()) {
            exchange.relay().head(answer);
        }
    }

    @Override
    public void onPiece(ByteBuf piece) {
        if (over || rejection.isPresent()) {
            return;
        }
        firstPiece();
        notePace();
        exchange.relay().piece(piece);
        if (!exchange.relay().mayTakeMore()) {
            call.setReading(false);
        }
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        if (rejection.isPresent()) {
            failed(rejection.get());
            return;
        }
        firstPiece();
        if (isServerFailure(head) && exchange.isRepeatable() && exchange.wouldRetry(Evidence.MAY_HAVE_RUN)) {
            blame();
            failed(new Rejection(
                    Evidence.MAY_HAVE_RUN, true, "status " + head.status().code()));
            return;
        }
        end();
        if (isServerFailure(head)) {
            blame();
        } else {
            server.ifPresent(BackendServer::succeeded);
        }
        int status = head.status().code();
        exchange.relay().end();
        exchange.answered(this, status);
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (over) {
            return;
        }
        switch (failure) {
            case CallFailure.NotSent notSent -> {
                unreachable();
                blame();
                failed(new Rejection(Evidence.NOT_RUN, false, notSent.reason()));
            }
            case CallFailure.Broken lost -> {
                server.ifPresent(core.healthChecks()::doubt);
                if (!lost.reused()) {
                    blame();
                }
                Evidence evidence = rejection.map(Rejection::evidence).orElse(Evidence.MAY_HAVE_RUN);
                failed(new Rejection(evidence, true, lost.reason()));
            }
        }
    }

    private Optional<Rejection> judge(HttpResponse answer) {
        int status = answer.status().code();
        String echoed = answer.headers().get(Headers.REQUEST_ID);
        boolean notRun = answer.headers().contains(Headers.NOT_RUN);
        boolean own = server.isEmpty() && answer.headers().contains(InternalHeaders.OUTCOME);
        if (own) {
            core.peers().refused(endpoint.address(), exchange.service());
            boolean proof = InternalHeaders.NOT_RUN.equals(answer.headers().get(InternalHeaders.OUTCOME));
            return Optional.of(new Rejection(
                    proof ? Evidence.NOT_RUN : Evidence.MAY_HAVE_RUN, !proof, "instance answered " + status));
        }
        if (echoed != null && !echoed.equals(requestId)) {
            core.log().notable("foreign-answer", "request", requestId, "target", target(), "answers", echoed);
            call.cancel();
            return rejectNow("an answer to another request");
        }
        if (status == MISDIRECTED) {
            server.ifPresent(core.healthChecks()::doubt);
            return Optional.of(new Rejection(Evidence.NOT_RUN, true, "another server has the address"));
        }
        if (notRun) {
            return Optional.of(new Rejection(Evidence.NOT_RUN, true, "rejected with status " + status));
        }
        boolean signed = answer.headers().contains(Headers.SIGNATURE);
        boolean encoded = answer.headers().contains("Content-Encoding");
        boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && (!signed || encoded || echoed == null)) {
            call.cancel();
            return rejectNow("an answer that isn't the server's");
        }
        if (exchange.relay().isStarted() && !answer.status().equals(HttpResponseStatus.OK)) {
            return Optional.of(new Rejection(Evidence.MAY_HAVE_RUN, true, "resumed with status " + status));
        }
        return Optional.empty();
    }

    /** The connection can't be trusted any more, so that the rest of the answer isn't waited for. */
    private Optional<Rejection> rejectNow(String reason) {
        Rejection rejected = new Rejection(Evidence.MAY_HAVE_RUN, true, reason);
        blame();
        core.soon(() -> {
            if (!over) {
                failed(rejected);
            }
        });
        return Optional.of(rejected);
    }

    private void failed(Rejection rejected) {
        end();
        exchange.relay().attemptEnded();
        exchange.attemptFailed(this, rejected.evidence(), rejected.arrived(), rejected.reason());
    }

    private void firstPiece() {
        placed.ifPresent(at -> {
            if (at.answered()) {
                core.backends().observedFirstPiece(exchange.service(), at.tokensAhead(), core.nowMs() - sentMs);
                core.capacityChanged(exchange.service());
            }
        });
    }

    private void notePace() {
        long nowMs = core.nowMs();
        if (lastPieceMs > 0 && work.promptTokens() > 0) {
            server.ifPresent(from -> core.backends().observedGap(from, nowMs - lastPieceMs, nowMs));
        }
        lastPieceMs = nowMs;
    }

    private void unreachable() {
        if (server.isPresent()) {
            core.healthChecks().doubt(server.get());
        } else {
            core.peers().unreachable(endpoint.address(), core.nowMs());
        }
    }

    private void blame() {
        server.ifPresent(bad -> {
            if (bad.failed(core.nowMs())) {
                core.log().notable("server-ejected", "server", target());
            }
        });
    }

    private void end() {
        over = true;
        placed.ifPresent(BackendServer.Placed::ended);
        if (server.isPresent()) {
            core.capacityChanged(exchange.service());
        }
    }

    private static boolean isServerFailure(HttpResponse answer) {
        return answer.status().codeClass() == HttpStatusClass.SERVER_ERROR
                && !answer.status().equals(HttpResponseStatus.GATEWAY_TIMEOUT);
    }
}
