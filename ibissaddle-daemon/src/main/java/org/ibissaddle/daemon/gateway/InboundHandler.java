package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.route.CallerLimits;

/**
 * Handles the connection of a caller or another instance: requests are processed one at a time, and each response is
 * completed before the next request starts.
 */
final class InboundHandler extends ChannelInboundHandlerAdapter implements ResponseWriter {
    /** Maximum number of queued messages of pipelined requests; reading from the connection then stops. */
    private static final int MAX_PENDING = 64;
    /** Time in which the first request of a new connection may be on its way, milliseconds. */
    private static final long MIN_IDLE_MS = 100;

    private final GatewayCore core;
    private final boolean fromPeer;
    private final Deque<HttpObject> pending = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest request;
    private BodyBuffer body;
    private RequestExchange exchange;
    private boolean discardBody;
    private boolean bodyComplete;
    private boolean responding;
    private boolean keepAlive;
    private boolean closing;
    private long arrivedMs;
    private long idleSinceMs;
    private long firstByteMs;
    private long lastUnsentBytes;

    InboundHandler(GatewayCore core, boolean fromPeer) {
        this.core = core;
        this.fromPeer = fromPeer;
        this.idleSinceMs = core.nowMs();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        core.connections().add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject object = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(object);
            return;
        }
        if (isBusy()) {
            pending.add(object);
            channel.config().setAutoRead(pending.size() < MAX_PENDING);
            return;
        }
        process(object);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        core.connections().remove(this);
        closing = true;
        releaseAll();
        if (exchange != null) {
            RequestExchange abandoned = exchange;
            exchange = null;
            abandoned.onCallerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.onCallerWritabilityChanged(channel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        core.log().info("connection-failed", "peer", fromPeer, "cause", cause);
        close();
    }

    /** Records the time of the first byte of a request, for the header timeout. */
    void onBytesRead() {
        if (firstByteMs == 0 && request == null) {
            firstByteMs = core.nowMs();
        }
    }

    /** Closes the connection if the header timeout, the idle timeout or the deadline of a request has passed. */
    void closeIfTimedOut(CallerLimits limits, long nowMs) {
        if (closing) {
            return;
        }
        boolean receivingBody = request != null && !bodyComplete && !discardBody;
        if (receivingBody && nowMs >= arrivedMs + core.timeoutMs(request)) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, "timed out waiting for the request body", true);
            return;
        }
        if (request == null && firstByteMs > 0) {
            if (nowMs - firstByteMs > limits.headerTimeoutMs()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT, "timed out waiting for the request headers", true);
            }
            return;
        }
        recordTransmission(nowMs);
        if (request == null && nowMs - idleSinceMs > limits.idleTimeoutMs()) {
            close();
        }
    }

    /** A connection is not idle while its caller still reads the latest response. */
    private void recordTransmission(long nowMs) {
        long bytes = unsentBytes();
        if (bytes != lastUnsentBytes) {
            lastUnsentBytes = bytes;
            idleSinceMs = nowMs;
        }
    }

    /** Closes the connection unless a request is being received or processed, or its response transmitted. */
    void closeIfIdle(long nowMs) {
        boolean idle = request == null && firstByteMs == 0 && unsentBytes() == 0;
        if (idle && !closing && nowMs - idleSinceMs >= MIN_IDLE_MS) {
            close();
        }
    }

    /** Returns the number of bytes that the operating system has not accepted yet. */
    private long unsentBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /**
     * Ends the request in progress with a final response because the process is about to exit, and processes no further
     * one from this connection.
     */
    void endForShutdown() {
        keepAlive = false;
        if (exchange != null) {
            exchange.onShutdown();
            return;
        }
        if (request != null && !bodyComplete && !discardBody) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the instance is stopping", true);
            return;
        }
        closing = true;
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers, long length) {
        responding = true;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
        boolean chunkable = request == null || request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (chunkable) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            keepAlive = false;
        }
        keepAlive &= !core.isDraining() || fromPeer;
        if (!keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(head, channel.voidPromise());
    }

    @Override
    public void sendContent(ByteBuf content) {
        if (isHeadRequest()) {
            content.release();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(content), channel.voidPromise());
    }

    @Override
    public void sendEnd() {
        exchange = null;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(keepAlive ? f -> {} : ChannelFutureListener.CLOSE);
        onResponseEnd();
    }

    @Override
    public void abort() {
        exchange = null;
        close();
    }

    @Override
    public boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    private void process(HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                refuseMalformed(object.decoderResult().cause());
                return;
            }
            if (object instanceof HttpRequest head) {
                beginRequest(head);
            }
            if (object instanceof HttpContent content && request != null) {
                collectBody(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void beginRequest(HttpRequest head) {
        request = head;
        arrivedMs = core.nowMs();
        firstByteMs = 0;
        keepAlive = HttpUtil.isKeepAlive(head);
        discardBody = false;
        bodyComplete = false;
        responding = false;
        body = null;
        long length = HttpUtil.getContentLength(head, 0L);
        if (length > core.limits().maxBodyBytes()) {
            refuse(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "the request body exceeds the limit of " + core.limits().maxBodyBytes() + " bytes",
                    true);
            return;
        }
        if (isInstanceMessage(head)) {
            return;
        }
        // A caller that waits for 100 Continue may leave out the body after a refusal, and the next request would then
        // be read as that body.
        boolean bodyAwaitsAnswer = core.hasWorkspaces() && HttpUtil.is100ContinueExpected(head);
        core.checkHead(head, fromPeer)
                .ifPresent(refusal -> refuse(refusal.status(), refusal.reason(), bodyAwaitsAnswer));
        if (!discardBody && HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void collectBody(HttpContent content) {
        if (!discardBody && content.content().isReadable()) {
            if (body == null) {
                body = new BodyBuffer(channel.alloc());
            }
            if (body.size() + content.content().readableBytes() > core.limits().maxBodyBytes()) {
                refuse(
                        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                        "the request body exceeds the limit of " + core.limits().maxBodyBytes() + " bytes",
                        true);
                return;
            }
            body.add(content.content());
        }
        if (content instanceof LastHttpContent) {
            bodyComplete = true;
            if (discardBody) {
                finishRequest();
                return;
            }
            dispatch();
        }
    }

    private void dispatch() {
        ByteBuf requestBody = body == null ? Unpooled.EMPTY_BUFFER : body.take();
        body = null;
        if (isInstanceMessage(request)) {
            byte[] bytes = new byte[requestBody.readableBytes()];
            requestBody.readBytes(bytes);
            requestBody.release();
            if (core.quotaService().isQuotaMessage(request)) {
                core.quotaService().handle(bytes, this);
            } else {
                core.peerGossip().handle(request, bytes, this);
            }
            return;
        }
        boolean bodyDeclared = HttpUtil.isContentLengthSet(request) || HttpUtil.isTransferEncodingChunked(request);
        IncomingRequest incoming = new IncomingRequest(
                request.method(), request.uri(), request.headers(), requestBody, bodyDeclared, fromPeer, arrivedMs);
        exchange = new RequestExchange(core, incoming, this);
        core.requestIntake().add(exchange);
    }

    /** Sends an error response to a request that was not forwarded; the rest of its body is read and discarded. */
    private void refuse(HttpResponseStatus status, String reason, boolean close) {
        discardBody = true;
        keepAlive &= !close;
        if (body != null) {
            body.release();
            body = null;
        }
        if (status.equals(HttpResponseStatus.UNAUTHORIZED)) {
            core.metrics().recordRefusal("", status.code());
        }
        ErrorResponses.send(this, status, reason, core.errorHeaders(status, fromPeer, true, false));
        core.log()
                .notice(
                        "refused",
                        "request",
                        request == null ? "" : request.headers().get(PlatformHeaders.REQUEST_ID, ""),
                        "status",
                        status.code(),
                        "reason",
                        reason,
                        "configuration",
                        core.configurationVersion());
    }

    private void refuseMalformed(Throwable cause) {
        HttpResponseStatus status = switch (cause) {
            case TooLongFrameException tooLong -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            case StrictRequestDecoder.FramingException framing ->
                framing.error().status();
            default -> HttpResponseStatus.BAD_REQUEST;
        };
        refuse(status, "malformed request: " + cause.getMessage(), true);
    }

    private void onResponseEnd() {
        responding = false;
        if (!keepAlive) {
            closing = true;
            releaseAll();
            return;
        }
        if (bodyComplete || request == null) {
            finishRequest();
        }
    }

    private void finishRequest() {
        request = null;
        idleSinceMs = core.nowMs();
        while (!pending.isEmpty() && !isBusy() && !closing) {
            process(pending.poll());
        }
        if (pending.size() < MAX_PENDING && channel.isActive()) {
            channel.config().setAutoRead(true);
        }
    }

    /** Whether a request is a message of another instance itself, and not a forwarded request. */
    private boolean isInstanceMessage(HttpRequest head) {
        return fromPeer
                && (core.peerGossip().isPeerMessage(head) || core.quotaService().isQuotaMessage(head));
    }

    private boolean isBusy() {
        return responding || (request != null && bodyComplete);
    }

    private boolean isHeadRequest() {
        return request != null && request.method().equals(HttpMethod.HEAD);
    }

    private void close() {
        closing = true;
        channel.close();
    }

    private void releaseAll() {
        pending.forEach(ReferenceCountUtil::release);
        pending.clear();
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
