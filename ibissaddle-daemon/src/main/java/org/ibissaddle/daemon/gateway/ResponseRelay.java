package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;

/**
 * Relays the response of a server. A plain response is relayed once it is complete; an event stream is relayed one
 * complete event at a time, and another server can resume it after the last event if its route allows that.
 */
final class ResponseRelay {
    /** Size above which a plain response is relayed as it arrives, bytes. */
    private static final int MAX_BUFFERED_BYTES = 1_048_576;

    private final GatewayCore core;
    private final ResponseWriter responseWriter;
    private final boolean streaming;
    private final boolean resumable;
    private final EventSplitter events;
    private final ResumePosition position = new ResumePosition();
    private final BodyBuffer buffered;
    private final MemoryBudget.Share memory;
    private final String firstEventId;
    private HttpResponse head;
    private HttpResponse latestHead;
    private boolean eventStream;
    private boolean eventReceived;
    private boolean malformedEvent;
    private boolean memoryExhausted;
    private boolean started;
    private long receivedBytes;

    ResponseRelay(
            GatewayCore core,
            ResponseWriter responseWriter,
            boolean streaming,
            boolean resumable,
            String firstEventId) {
        this.core = core;
        this.responseWriter = responseWriter;
        this.streaming = streaming;
        this.resumable = resumable;
        this.firstEventId = firstEventId;
        this.events = new EventSplitter(core.allocator());
        this.buffered = new BodyBuffer(core.allocator());
        this.memory = core.responseMemory().new Share();
    }

    /** Whether part of a response has been relayed. */
    boolean isStarted() {
        return started;
    }

    /** Whether the response of another server can follow what has been relayed. */
    boolean isResumable() {
        return !started || (eventStream && position.isKnown());
    }

    /** Whether the response can follow what has been relayed: it must be a stream of the same type. */
    boolean isContinuedBy(HttpResponse response) {
        return response.status().equals(HttpResponseStatus.OK)
                && contentType(response).equalsIgnoreCase(contentType(head));
    }

    /** Id of the event after which another server would resume; empty to start from the beginning. */
    String lastEventId() {
        return position.lastId().isEmpty() ? firstEventId : position.lastId();
    }

    void onHead(HttpResponse response) {
        latestHead = response;
        receivedBytes = 0;
        eventReceived = false;
        malformedEvent = false;
        if (started) {
            return;
        }
        head = response;
        eventStream = streaming && response.status().equals(HttpResponseStatus.OK);
    }

    /** Relays the events that the content completes, or buffers content of a plain response. */
    void onContent(ByteBuf content) {
        receivedBytes += content.readableBytes();
        if (!eventStream) {
            buffer(content);
            return;
        }
        ByteBuf completeEvents = events.add(content);
        memoryExhausted = !memory.tryResize(events.partialEventBytes());
        if (resumable) {
            removeFromFirstMalformedEvent(completeEvents);
        }
        if (!completeEvents.isReadable()) {
            completeEvents.release();
            return;
        }
        eventReceived = true;
        startIfNeeded();
        responseWriter.sendContent(completeEvents);
    }

    /**
     * Whether the stream of the latest response was broken off although its end was received: inside an event, or
     * before the first event of a response that ends with its connection.
     */
    boolean isTruncated() {
        return eventStream && (partialEventBytes() > 0 || (!eventReceived && !isFramed()));
    }

    /**
     * Why the rest of a stream cannot be relayed.
     *
     * @param reason a short description for logs
     * @param fromServer whether the server has caused it, rather than a limit of this instance
     */
    record StreamError(String reason, boolean fromServer) {}

    /** Returns why the rest of the stream cannot be relayed, empty if it can. */
    Optional<StreamError> streamError() {
        if (malformedEvent) {
            return Optional.of(new StreamError("malformed event id", true));
        }
        if (events.isPartialEventTooLong()) {
            return Optional.of(new StreamError("event exceeds the maximum size", true));
        }
        return memoryExhausted
                ? Optional.of(new StreamError("the memory for incomplete responses is exhausted", false))
                : Optional.empty();
    }

    boolean isWritable() {
        return responseWriter.isWritable();
    }

    /** How the length of the latest response is determined, for logs. */
    String framing() {
        if (HttpUtil.isTransferEncodingChunked(latestHead)) {
            return "chunked";
        }
        return isFramed() ? "length" : "close";
    }

    /** Returns the size of the latest response so far, without its head, for logs. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Returns the number of bytes after the last complete event. */
    int partialEventBytes() {
        return events.partialEventBytes();
    }

    void onEnd() {
        if (eventStream || started) {
            startIfNeeded();
            responseWriter.sendEnd();
            return;
        }
        ByteBuf body = buffered.take();
        memory.release();
        responseWriter.sendHead(head.status(), headers(), body.readableBytes());
        responseWriter.sendContent(body);
        responseWriter.sendEnd();
    }

    /** Discards the buffered part of a response that is not relayed. */
    void discardBuffered() {
        events.discardPartialEvent();
        buffered.release();
        memory.release();
    }

    private void removeFromFirstMalformedEvent(ByteBuf completeEvents) {
        int accepted = position.advance(completeEvents);
        malformedEvent = accepted < completeEvents.readableBytes();
        completeEvents.writerIndex(completeEvents.readerIndex() + accepted);
    }

    private void buffer(ByteBuf content) {
        int size = buffered.size() + content.readableBytes();
        if (!started && size <= MAX_BUFFERED_BYTES && memory.tryResize(size)) {
            buffered.add(content);
            return;
        }
        startIfNeeded();
        if (buffered.size() > 0) {
            responseWriter.sendContent(buffered.take());
            memory.release();
        }
        responseWriter.sendContent(BodyBuffer.detach(core.allocator(), content));
    }

    private void startIfNeeded() {
        if (started) {
            return;
        }
        started = true;
        responseWriter.sendHead(head.status(), headers(), ResponseWriter.CHUNKED);
    }

    /** Whether the latest response has a length or chunks, so that its end differs from a closed connection. */
    boolean isFramed() {
        return HttpUtil.isContentLengthSet(latestHead) || HttpUtil.isTransferEncodingChunked(latestHead);
    }

    /** Returns the content type without its parameters. */
    private static String contentType(HttpResponse response) {
        CharSequence type = HttpUtil.getMimeType(response);
        return type == null ? "" : type.toString();
    }

    private HttpHeaders headers() {
        return RequestHeaders.forResponse(head.headers());
    }
}
