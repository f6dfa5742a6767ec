package org.ibissaddle.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.port.Clock;

/** A connection that carries one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Assumed keep-alive timeout when the response has no {@code Keep-Alive} header, in milliseconds. */
    private static final long DEFAULT_KEEP_ALIVE_MS = 4_000;
    /** Fraction of the keep-alive timeout during which a connection is reused; the rest covers network latency. */
    private static final double KEEP_ALIVE_USABLE_FRACTION = 0.7;

    private static final int MS_PER_SECOND = 1_000;
    private static final String TIMEOUT_PARAMETER = "timeout=";
    /** Number of the latest requests to which late responses are recognised. */
    private static final int MAX_REQUEST_IDS = 64;

    private final HttpClient client;
    private final Endpoint endpoint;
    private final Clock clock;
    private final ResponseDecoder decoder = new ResponseDecoder(this::isHeadRequest);
    private Channel channel;
    private HttpClient.Call call;
    private boolean reused;
    private boolean headReceived;
    private long bytesBeforeHead;
    private final Deque<String> requestIds = new ArrayDeque<>();
    private boolean onlyIds = true;
    private Optional<SecondResponseScanner> scanner = Optional.empty();
    private boolean keepAlive;
    private boolean closing;
    private long idleSinceMs;
    private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

    ClientConnection(HttpClient client, Endpoint endpoint, Clock clock) {
        this.client = client;
        this.endpoint = endpoint;
        this.clock = clock;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    boolean isReusable(long maxIdleMs, long nowMs) {
        long idleMs = nowMs - idleSinceMs;
        return channel.isActive() && idleMs <= maxIdleMs && idleMs < keepAliveMs * KEEP_ALIVE_USABLE_FRACTION;
    }

    void start(HttpClient.Call newCall, boolean pooled) {
        call = newCall;
        reused = pooled;
        headReceived = false;
        bytesBeforeHead = 0;
        call.attachChannel(channel);
        call.setConnectionReused(pooled);
        recordRequestId();
        if (!channel.isActive()) {
            call = null;
            newCall.fail(new CallFailure.NotSent("connection closed before the request was sent"));
            return;
        }
        ByteBuf body = newCall.takeBody();
        channel.write(newCall.head(), channel.voidPromise());
        channel.writeAndFlush(new DefaultLastHttpContent(body), channel.voidPromise());
    }

    /** Whether all requests on the connection had an id, so that late responses to them are recognised. */
    boolean hasOnlyIds() {
        return onlyIds;
    }

    void discard() {
        closing = true;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            handle((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (call != null) {
            failCall(new CallFailure.ConnectionLost("connection closed", reused));
            return;
        }
        boolean expected = closing || clock.nowMs() - idleSinceMs >= keepAliveMs * KEEP_ALIVE_USABLE_FRACTION;
        client.onIdleClosed(endpoint, this, expected);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closing |= call != null || !(cause instanceof IOException);
        failCall(
                cause instanceof IOException
                        ? new CallFailure.ConnectionLost("connection reset: " + cause.getMessage(), reused)
                        : new CallFailure.LocalError(cause.toString(), true));
        context.close();
    }

    void addHandlers(ChannelPipeline pipeline) {
        pipeline.addLast(newHeadLimiter(), new HttpRequestEncoder(), decoder, this);
    }

    private boolean isHeadRequest() {
        return call != null && call.head().method().equals(HttpMethod.HEAD);
    }

    /** Returns the handler in front of the decoder, which does not limit blank lines and interim responses. */
    private ChannelInboundHandlerAdapter newHeadLimiter() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (call == null && !closing) {
                    ReferenceCountUtil.release(bytes);
                    abort("unexpected bytes without a pending request");
                    return;
                }
                if (!headReceived && bytesBeforeHead > HttpClient.MAX_HEAD_BYTES) {
                    ReferenceCountUtil.release(bytes);
                    abort("no response head within " + HttpClient.MAX_HEAD_BYTES + " bytes");
                    return;
                }
                bytesBeforeHead += headReceived ? 0 : ((ByteBuf) bytes).readableBytes();
                context.fireChannelRead(bytes);
            }
        };
    }

    private void handle(HttpObject message) {
        if (closing) {
            return;
        }
        if (call == null || call.isDone()) {
            abort("unexpected bytes without a pending request");
            return;
        }
        if (message.decoderResult().isFailure()) {
            handleDecodingFailure(message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse head) {
            handleHead(head);
        }
        if (message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private void handleDecodingFailure(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            closing = true;
            failCall(new CallFailure.ConnectionLost("connection closed inside the response head", reused));
            return;
        }
        abort("malformed response: " + cause.getMessage());
    }

    private void handleHead(HttpResponse head) {
        if (headReceived) {
            abort("second response head before the end of the response");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
            abort("status code " + head.status().code() + " is outside 100 to 599");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return;
        }
        if (!TransferCodings.areSupported(head)) {
            abort("unsupported transfer coding");
            return;
        }
        headReceived = true;
        boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        keepAlive = HttpUtil.isKeepAlive(head) && framed;
        keepAliveMs = parseKeepAliveMs(head);
        scanner = framed
                ? Optional.empty()
                : Optional.of(new SecondResponseScanner(PlatformHeaders.REQUEST_ID, this::isOtherResponse));
        call.listener().onResponseHead(head);
    }

    private void handleContent(HttpContent content) {
        if (!headReceived) {
            return;
        }
        HttpClient.Call current = call;
        if (scanner.isPresent()) {
            handleUnframedContent(scanner.get(), content.content());
        } else if (content.content().isReadable()) {
            current.listener().onContent(content.content());
        }
        if (!(content instanceof LastHttpContent) || call != current || current.isDone()) {
            return;
        }
        if (scanner.filter(SecondResponseScanner::isInsideHead).isPresent()) {
            abort("connection closed inside a response head after the body");
            return;
        }
        scanner.ifPresent(ended -> relay(ended.takeHeld()));
        if (call == current && !current.isDone()) {
            completeCall();
        }
    }

    /** Relays content of a body that ends with its connection, or with another response of a faulty server. */
    private void handleUnframedContent(SecondResponseScanner bodyScanner, ByteBuf content) {
        HttpClient.Call current = call;
        relay(bodyScanner.add(content));
        Optional<String> secondId = bodyScanner.foundId();
        if (secondId.isEmpty() || current.isDone()) {
            return;
        }
        if (!secondId.get().equals(requestId())) {
            abort("response to another request within the body");
            return;
        }
        current.listener().onSecondResponse();
        completeCall();
    }

    private void relay(ByteBuf body) {
        try {
            if (body.isReadable()) {
                call.listener().onContent(body);
            }
        } finally {
            body.release();
        }
    }

    /** A second response answers this request or, late, an earlier one on the connection. */
    private boolean isOtherResponse(String id) {
        return requestIds.contains(id);
    }

    private String requestId() {
        return call.head().headers().get(PlatformHeaders.REQUEST_ID);
    }

    private void recordRequestId() {
        String id = requestId();
        if (id == null) {
            onlyIds = false;
            return;
        }
        if (requestIds.size() >= MAX_REQUEST_IDS) {
            requestIds.removeFirst();
        }
        requestIds.addLast(id);
    }

    private void completeCall() {
        HttpClient.Call completed = call;
        call = null;
        headReceived = false;
        bytesBeforeHead = 0;
        idleSinceMs = clock.nowMs();
        if (keepAlive && completed.keepsConnection() && channel.isActive() && !decoder.hasUnreadBytes()) {
            channel.config().setAutoRead(true);
            client.addIdle(endpoint, this);
        } else {
            discard();
        }
        completed.complete();
    }

    /** Closes a connection whose bytes are no response to the request. */
    private void abort(String reason) {
        closing = true;
        failCall(new CallFailure.InvalidResponse(reason));
        if (channel.isOpen()) {
            client.onIdleClosed(endpoint, this, true);
            channel.close();
        }
    }

    private void failCall(CallFailure failure) {
        if (call == null) {
            return;
        }
        HttpClient.Call failed = call;
        call = null;
        failed.fail(failure);
    }

    private static long parseKeepAliveMs(HttpResponse head) {
        String value = head.headers().get("Keep-Alive");
        int start = value == null ? -1 : value.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return DEFAULT_KEEP_ALIVE_MS;
        }
        String seconds = value.substring(start + TIMEOUT_PARAMETER.length())
                .split(",", -1)[0]
                .trim();
        try {
            return Long.parseLong(seconds) * MS_PER_SECOND;
        } catch (NumberFormatException e) {
            return DEFAULT_KEEP_ALIVE_MS;
        }
    }
}
