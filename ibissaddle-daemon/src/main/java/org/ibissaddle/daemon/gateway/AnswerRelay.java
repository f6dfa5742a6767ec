package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Passes an answer on. A plain answer is passed on when it is whole; a stream by whole events, from the first one on,
 * and another server may continue it after the last event.
 */
final class AnswerRelay {
    /** A plain answer longer than this is passed on as it comes, bytes. */
    private static final int MAX_HELD_BYTES = 1_048_576;

    private final GatewayCore core;
    private final Inbound inbound;
    private final boolean streaming;
    private final EventSplitter events;
    private final String firstEventId;
    private HttpResponse head;
    private CompositeByteBuf held;
    private boolean eventStream;
    private boolean started;

    AnswerRelay(GatewayCore core, Inbound inbound, boolean streaming, String firstEventId) {
        this.core = core;
        this.inbound = inbound;
        this.streaming = streaming;
        this.firstEventId = firstEventId;
        this.events = new EventSplitter(core.allocator());
    }

    /** Whether part of an answer has been passed on. */
    boolean isStarted() {
        return started;
    }

    /** Id after which another server would continue, empty for the beginning. */
    String lastEventId() {
        return events.lastId().isEmpty() ? firstEventId : events.lastId();
    }

    void head(HttpResponse answer) {
        if (started) {
            return;
        }
        head = answer;
        eventStream = streaming && answer.status().equals(HttpResponseStatus.OK);
    }

    /** Passes on what a piece completes. */
    void piece(ByteBuf piece) {
        if (!eventStream) {
            hold(piece);
            return;
        }
        ByteBuf whole = events.add(piece);
        if (!whole.isReadable()) {
            whole.release();
            return;
        }
        startIfNeeded();
        inbound.sendPiece(whole);
    }

    boolean mayTakeMore() {
        return inbound.isWritable();
    }

    void end() {
        if (eventStream || started) {
            startIfNeeded();
            ByteBuf rest = events.takeRest();
            if (rest != null) {
                inbound.sendPiece(rest);
            }
            inbound.sendEnd();
            return;
        }
        ByteBuf body = held == null ? Unpooled.EMPTY_BUFFER : held;
        held = null;
        inbound.sendHead(head.status(), headers(), body.readableBytes());
        inbound.sendPiece(body);
        inbound.sendEnd();
    }

    /** Forgets what was held of an answer that isn't passed on. */
    void attemptEnded() {
        events.dropRest();
        if (held != null) {
            held.release();
            held = null;
        }
    }

    private void hold(ByteBuf piece) {
        if (started) {
            inbound.sendPiece(piece.retain());
            return;
        }
        if (held == null) {
            held = core.allocator().compositeBuffer(Integer.MAX_VALUE);
        }
        held.addComponent(true, piece.retain());
        if (held.readableBytes() > MAX_HELD_BYTES) {
            ByteBuf sofar = held;
            held = null;
            startIfNeeded();
            inbound.sendPiece(sofar);
        }
    }

    private void startIfNeeded() {
        if (started) {
            return;
        }
        started = true;
        inbound.sendHead(head.status(), headers(), Inbound.CHUNKED);
    }

    private HttpHeaders headers() {
        return RequestHeaders.answered(head.headers());
    }
}
