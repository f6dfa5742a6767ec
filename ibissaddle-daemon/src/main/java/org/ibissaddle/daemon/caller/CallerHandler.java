package org.ibissaddle.daemon.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.daemon.http.RequestFraming;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;

/** Handles the requests of one connection in order and buffers each body within the memory limits. */
final class CallerHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_MESSAGES = 64;
    private static final long MAX_DISCARDED_BYTES = 64 * 1024;
    private static final String TICKET_HEADER = "X-Ticket";
    private static final long BODY_BUDGET_RETRY_DELAY_MS = 1_000;

    private final RequestHandler requestHandler;
    private final Settings.Limits limits;
    private final BodyBudget budget;
    private final CallerConnections connections;
    private final Clock clock;
    private final ArrayDeque<Object> pipelinedMessages = new ArrayDeque<>();
    private Channel channel;
    private State state = State.HEAD;
    private HttpRequest head;
    private BodyCollector body;
    private Future<?> bodyTimeout;
    private long arrivedAtMs;
    private NettyResponseWriter currentReply;

    /** State of the connection: what is read next, or that a response is pending or the connection is closing. */
    private enum State {
        HEAD,
        BODY,
        DISCARDED_BODY,
        REPLY,
        CLOSING
    }

    CallerHandler(
            RequestHandler requestHandler,
            Settings.Limits limits,
            BodyBudget budget,
            CallerConnections connections,
            Clock clock) {
        this.requestHandler = requestHandler;
        this.limits = limits;
        this.budget = budget;
        this.connections = connections;
        this.clock = clock;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        connections.add(this);
        closeIfStopped();
    }

    /** Closes the connection unless a request is being received or processed. May be called from any thread. */
    void closeIfWaiting() {
        channel.eventLoop().execute(this::closeIfStopped);
    }

    private void closeIfStopped() {
        if (state == State.HEAD && connections.areStopped()) {
            state = State.CLOSING;
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (state == State.REPLY) {
            pipelinedMessages.add(message);
            ctx.channel().config().setAutoRead(pipelinedMessages.size() < MAX_PIPELINED_MESSAGES);
            return;
        }
        process(ctx, message);
    }

    private void process(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpRequest request && state == State.HEAD) {
                processHead(ctx, request);
            }
            if (message instanceof HttpContent content) {
                processContent(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void processHead(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        arrivedAtMs = clock.nowMs();
        if (connections.areStopped()) {
            refuseAndClose(ctx, Refusal.of(RefusalType.DRAINING, "this instance is stopping", ExecutionStatus.NOT_RUN));
            return;
        }
        if (request.decoderResult().isFailure()) {
            refuseAndClose(ctx, malformed(request.decoderResult().cause()));
            return;
        }
        Optional<RequestFraming.FramingError> framingError = RequestFraming.check(request);
        if (framingError.isPresent()) {
            refuseAndClose(
                    ctx,
                    Refusal.of(RefusalType.MALFORMED_REQUEST, framingError.get().reason(), ExecutionStatus.NOT_RUN));
            return;
        }
        RequestHead requestHead = toRequestHead(request);
        if (requestHead.contentLength().orElse(0) > limits.maxBodyBytes()) {
            refuseAndClose(ctx, bodyTooLarge());
            return;
        }
        Optional<Refusal> refusal = requestHandler.check(requestHead);
        if (refusal.isPresent()) {
            refuseHead(ctx, requestHead, refusal.get());
            return;
        }
        state = State.BODY;
        body = new BodyCollector(budget, requestHead.contentLength(), limits.maxBodyBytes());
        bodyTimeout =
                ctx.executor().schedule(() -> onBodyTimeout(ctx), limits.defaultDeadlineMs(), TimeUnit.MILLISECONDS);
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Refuses a request before its body is read. The connection stays open only if the remaining body is short and may
     * be read in this region, so that it can be discarded.
     */
    private void refuseHead(ChannelHandlerContext ctx, RequestHead requestHead, Refusal refusal) {
        boolean chunked = HttpUtil.isTransferEncodingChunked(head);
        boolean shortBody = !chunked && requestHead.contentLength().orElse(0) <= MAX_DISCARDED_BYTES;
        boolean emptyBody = !chunked && requestHead.contentLength().orElse(0) == 0;
        boolean bodyMayBeRead = emptyBody || refusal.type() != RefusalType.WRONG_REGION;
        if (!shortBody || !bodyMayBeRead || HttpUtil.is100ContinueExpected(head) || !HttpUtil.isKeepAlive(head)) {
            writeAndClose(ctx, refusal);
            return;
        }
        state = State.DISCARDED_BODY;
        RefusalWriter.write(ctx, refusal, clock.nowMs());
    }

    private void processContent(ChannelHandlerContext ctx, HttpContent content) {
        if (state == State.DISCARDED_BODY && content instanceof LastHttpContent) {
            state = State.HEAD;
            closeIfStopped();
        }
        if (state != State.BODY) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseAndClose(ctx, malformed(content.decoderResult().cause()));
        } else if (body.exceeds(content.content())) {
            refuseAndClose(ctx, bodyTooLarge());
        } else if (!body.append(content.content())) {
            refuseAndClose(ctx, bodyBudgetExhausted());
        } else if (content instanceof LastHttpContent) {
            serve(ctx);
        }
    }

    private void serve(ChannelHandlerContext ctx) {
        state = State.REPLY;
        bodyTimeout.cancel(false);
        HttpRequest servedHead = head;
        CallerRequest request = new CallerRequest(toRequestHead(servedHead), body.toByteArray(), arrivedAtMs);
        NettyResponseWriter response = new NettyResponseWriter(
                ctx.channel(),
                () -> HttpUtil.isKeepAlive(servedHead) && !requestHandler.draining(),
                () -> processNextRequest(ctx));
        currentReply = response;
        BodyCollector servedBody = body;
        body = null;
        Thread.ofVirtual().name("request").start(() -> {
            try {
                requestHandler.handle(request, response);
            } finally {
                servedBody.release();
            }
        });
    }

    private void processNextRequest(ChannelHandlerContext ctx) {
        currentReply = null;
        if (!ctx.channel().isActive()) {
            return;
        }
        state = State.HEAD;
        closeIfStopped();
        while (state != State.REPLY && state != State.CLOSING && !pipelinedMessages.isEmpty()) {
            process(ctx, pipelinedMessages.poll());
        }
        if (state != State.CLOSING) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void onBodyTimeout(ChannelHandlerContext ctx) {
        if (state != State.BODY) {
            return;
        }
        refuseAndClose(
                ctx,
                Refusal.of(
                        RefusalType.DEADLINE_PASSED,
                        "the request body did not arrive within " + limits.defaultDeadlineMs()
                                + " ms after the request head",
                        ExecutionStatus.NOT_RUN));
    }

    /**
     * Refuses the request and closes the connection. Data that still arrives is discarded, or left unread if the
     * request belongs to another region.
     */
    private void refuseAndClose(ChannelHandlerContext ctx, Refusal original) {
        Refusal refusal = withUnknownStatusIfTicketed(original);
        requestHandler.onRefused(refusal);
        writeAndClose(ctx, refusal);
    }

    private void writeAndClose(ChannelHandlerContext ctx, Refusal refusal) {
        state = State.CLOSING;
        releaseBody();
        if (refusal.type() == RefusalType.WRONG_REGION) {
            ctx.channel().config().setAutoRead(false);
        }
        RefusalWriter.writeAndClose(ctx, refusal, clock.nowMs());
    }

    /**
     * Reports the outcome of a call with a ticket as unknown: the instance that owns the ticket may have executed an
     * earlier attempt, which this handler cannot rule out.
     */
    private Refusal withUnknownStatusIfTicketed(Refusal original) {
        if (!head.headers().contains(TICKET_HEADER)) {
            return original;
        }
        return original.withExecutionStatus(ExecutionStatus.UNKNOWN);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent && state == State.HEAD) {
            ctx.close();
            return;
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        NettyResponseWriter response = currentReply;
        if (response != null) {
            response.onWritabilityChanged();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.remove(this);
        state = State.CLOSING;
        releaseBody();
        pipelinedMessages.forEach(ReferenceCountUtil::release);
        pipelinedMessages.clear();
        NettyResponseWriter response = currentReply;
        if (response != null) {
            response.onChannelClosed();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void releaseBody() {
        if (body != null) {
            bodyTimeout.cancel(false);
            body.release();
            body = null;
        }
    }

    private static RequestHead toRequestHead(HttpRequest request) {
        String uri = request.uri();
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        String query = queryStart < 0 ? "" : uri.substring(queryStart + 1);
        return new RequestHead(request.method().name(), path, query, request.headers());
    }

    private Refusal bodyTooLarge() {
        return Refusal.of(
                RefusalType.BODY_TOO_LARGE,
                "the request body exceeds the limit of " + limits.maxBodyBytes() + " bytes",
                ExecutionStatus.NOT_RUN);
    }

    private Refusal bodyBudgetExhausted() {
        return Refusal.of(
                        RefusalType.OVERLOADED,
                        "this instance holds " + budget.reservedBytes()
                                + " bytes of request bodies and has no memory budget left for this one",
                        ExecutionStatus.NOT_RUN)
                .withRetryAt(clock.nowMs() + BODY_BUDGET_RETRY_DELAY_MS);
    }

    private static Refusal malformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return Refusal.of(
                    RefusalType.HEADERS_TOO_LARGE,
                    "the request line exceeds the maximum length",
                    ExecutionStatus.NOT_RUN);
        }
        if (cause instanceof TooLongFrameException) {
            return Refusal.of(
                    RefusalType.HEADERS_TOO_LARGE,
                    "the header fields exceed the limit set by max-header-bytes",
                    ExecutionStatus.NOT_RUN);
        }
        return Refusal.of(
                RefusalType.MALFORMED_REQUEST, "the request is not well-formed HTTP/1.1", ExecutionStatus.NOT_RUN);
    }
}
