package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ibissaddle.daemon.http.CallFailure;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.daemon.http.ResponseListener;

/** Collects a small response in memory, within a limit of time and size. */
final class ResponseCollector implements ResponseListener {
    /** Why no response was collected. */
    sealed interface Failure {
        /** Returns a short description for logs. */
        String reason();

        /** The remote end was unreachable, closed the connection or did not respond in time. */
        record NoResponse(String reason) implements Failure {}

        /** The remote end is reachable: the response was invalid, too long or not processed. */
        record UnusableResponse(String reason) implements Failure {}

        /** The request failed for a lack of resources in this process. */
        record NotTried(String reason) implements Failure {}

        /** Returns the failure of a collected response for that of its call. */
        static Failure of(CallFailure failure) {
            return switch (failure) {
                case CallFailure.NotSent refused -> new NoResponse(refused.reason());
                case CallFailure.ConnectionLost lost -> new NoResponse(lost.reason());
                case CallFailure.InvalidResponse invalid -> new UnusableResponse(invalid.reason());
                case CallFailure.LocalError error -> new NotTried(error.reason());
            };
        }
    }

    private final GatewayCore core;
    private final Consumer<HttpResponse> onHead;
    private final BiConsumer<Integer, byte[]> onResponse;
    private final Consumer<Failure> onFailure;
    private final long timeoutMs;
    private final int maxBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpClient.Call call;
    private Future<?> timer;
    private int status;
    private boolean finished;

    ResponseCollector(
            GatewayCore core,
            long timeoutMs,
            int maxBytes,
            BiConsumer<Integer, byte[]> onResponse,
            Consumer<Failure> onFailure) {
        this(core, timeoutMs, maxBytes, head -> {}, onResponse, onFailure);
    }

    ResponseCollector(
            GatewayCore core,
            long timeoutMs,
            int maxBytes,
            Consumer<HttpResponse> onHead,
            BiConsumer<Integer, byte[]> onResponse,
            Consumer<Failure> onFailure) {
        this.core = core;
        this.onHead = onHead;
        this.timeoutMs = timeoutMs;
        this.maxBytes = maxBytes;
        this.onResponse = onResponse;
        this.onFailure = onFailure;
    }

    void send(Endpoint endpoint, HttpRequest request, ByteBuf content, HttpClient.SendOptions options) {
        timer = core.schedule(this::expire, timeoutMs);
        call = core.client().send(endpoint, request, content, options, this);
    }

    /** Ends the call; nothing is called afterwards. */
    void cancel() {
        if (finish()) {
            call.cancel();
        }
    }

    @Override
    public void onResponseHead(HttpResponse head) {
        status = head.status().code();
        onHead.accept(head);
    }

    @Override
    public void onContent(ByteBuf content) {
        if (body.size() + content.readableBytes() > maxBytes) {
            end(new Failure.UnusableResponse("response exceeds " + maxBytes + " bytes"));
            return;
        }
        try {
            content.getBytes(content.readerIndex(), body, content.readableBytes());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot copy the response body to memory", e);
        }
    }

    @Override
    public void onComplete() {
        if (!finish()) {
            return;
        }
        try {
            onResponse.accept(status, body.toByteArray());
        } catch (RuntimeException e) {
            // The calling code has to make its next call as after any other failure.
            core.log().notice("response-not-processed", "status", status, "cause", e);
            onFailure.accept(new Failure.UnusableResponse("response could not be processed: " + e));
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (finish()) {
            onFailure.accept(Failure.of(failure));
        }
    }

    private void expire() {
        end(new Failure.NoResponse("no response within " + timeoutMs + " ms"));
    }

    private void end(Failure failure) {
        if (finish()) {
            call.cancel();
            onFailure.accept(failure);
        }
    }

    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        timer.cancel(false);
        return true;
    }
}
