package org.ibissaddle.daemon.caller;

import io.netty.buffer.Unpooled;
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
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;

/** Reads requests of one connection one after the other; collects each body in bounded memory. */
final class CallerHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_PARTS = 64;
    private static final long MAX_SKIPPED_BYTES = 64 * 1024;
    private static final String TICKET = "X-Ticket";
    private static final long BUDGET_RETRY_MS = 1_000;

    private final CallerService service;
    private final Settings.Limits limits;
    private final BodyBudget budget;
    private final Clock clock;
    private final ArrayDeque<Object> waiting = new ArrayDeque<>();
    private State state = State.HEAD;
    private HttpRequest head;
    private BodyCollector body;
    private Future<?> bodyTimer;
    private long arrivedAtMs;
    private NettyReply current;

    /** What the handler expects next. */
    private enum State {
        HEAD,
        BODY,
        SKIPPED_BODY,
        REPLY,
        CLOSING
    }

    CallerHandler(CallerService service, Settings.Limits limits, BodyBudget budget, Clock clock) {
        this.service = service;
        this.limits = limits;
        this.budget = budget;
        this.clock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (state == State.REPLY) {
            waiting.add(message);
            ctx.channel().config().setAutoRead(waiting.size() < MAX_PIPELINED_PARTS);
            return;
        }
        accept(ctx, message);
    }

    private void accept(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpRequest request && state == State.HEAD) {
                acceptHead(ctx, request);
            }
            if (message instanceof HttpContent content) {
                acceptContent(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void acceptHead(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        arrivedAtMs = clock.nowMs();
        if (request.decoderResult().isFailure()) {
            close(ctx, malformed(request.decoderResult().cause()));
            return;
        }
        RequestHead asked = requestHead(request);
        if (asked.contentLength().orElse(0) > limits.maxBodyBytes()) {
            close(ctx, tooLarge());
            return;
        }
        Optional<Refusal> refusal = service.check(asked);
        if (refusal.isPresent()) {
            refuseHead(ctx, asked, refusal.get());
            return;
        }
        state = State.BODY;
        body = new BodyCollector(budget, asked.contentLength(), limits.maxBodyBytes());
        bodyTimer = ctx.executor().schedule(() -> bodyIsLate(ctx), limits.defaultDeadlineMs(), TimeUnit.MILLISECONDS);
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Keeps the connection when the rest of the request is short and may be read and thrown away. */
    private void refuseHead(ChannelHandlerContext ctx, RequestHead asked, Refusal refusal) {
        boolean chunked = HttpUtil.isTransferEncodingChunked(head);
        boolean small = !chunked && asked.contentLength().orElse(0) <= MAX_SKIPPED_BYTES;
        boolean empty = !chunked && asked.contentLength().orElse(0) == 0;
        boolean mayRead = empty || refusal.type() != RefusalType.WRONG_REGION;
        if (!small || !mayRead || HttpUtil.is100ContinueExpected(head) || !HttpUtil.isKeepAlive(head)) {
            writeAndClose(ctx, refusal);
            return;
        }
        state = State.SKIPPED_BODY;
        RefusalWriter.write(ctx, refusal, clock.nowMs());
    }

    private void acceptContent(ChannelHandlerContext ctx, HttpContent content) {
        if (state == State.SKIPPED_BODY && content instanceof LastHttpContent) {
            state = State.HEAD;
        }
        if (state != State.BODY) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            close(ctx, malformed(content.decoderResult().cause()));
        } else if (body.exceeds(content.content())) {
            close(ctx, tooLarge());
        } else if (!body.add(content.content())) {
            close(ctx, tooMuchHeld());
        } else if (content instanceof LastHttpContent) {
            serve(ctx);
        }
    }

    private void serve(ChannelHandlerContext ctx) {
        state = State.REPLY;
        bodyTimer.cancel(false);
        HttpRequest asked = head;
        CallerRequest request = new CallerRequest(requestHead(asked), body.whole(), arrivedAtMs);
        NettyReply reply =
                new NettyReply(ctx.channel(), () -> HttpUtil.isKeepAlive(asked) && !service.leaving(), () -> next(ctx));
        current = reply;
        BodyCollector held = body;
        body = null;
        Thread.ofVirtual().name("request").start(() -> {
            try {
                service.serve(request, reply);
            } finally {
                held.release();
            }
        });
    }

    private void next(ChannelHandlerContext ctx) {
        current = null;
        if (!ctx.channel().isActive()) {
            return;
        }
        state = State.HEAD;
        while (state != State.REPLY && !waiting.isEmpty()) {
            accept(ctx, waiting.poll());
        }
        if (state != State.CLOSING) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void bodyIsLate(ChannelHandlerContext ctx) {
        if (state != State.BODY) {
            return;
        }
        close(
                ctx,
                Refusal.of(
                        RefusalType.DEADLINE_PASSED,
                        "the body did not arrive within " + limits.defaultDeadlineMs() + " ms of its head",
                        Fate.NOT_RUN));
    }

    /** Refuses and closes; what still comes is thrown away, or left unread when it belongs to another region. */
    private void close(ChannelHandlerContext ctx, Refusal why) {
        Refusal refusal = unproven(why);
        service.refused(refusal);
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

    /** A call with a ticket may have run before, at its owner: this port has no proof that it did not. */
    private Refusal unproven(Refusal why) {
        if (!head.headers().contains(TICKET)) {
            return why;
        }
        return why.withFate(Fate.UNKNOWN);
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
        NettyReply reply = current;
        if (reply != null) {
            reply.writabilityChanged();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state = State.CLOSING;
        releaseBody();
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        NettyReply reply = current;
        if (reply != null) {
            reply.closed();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void releaseBody() {
        if (body != null) {
            bodyTimer.cancel(false);
            body.release();
            body = null;
        }
    }

    private static RequestHead requestHead(HttpRequest request) {
        String uri = request.uri();
        int mark = uri.indexOf('?');
        String path = mark < 0 ? uri : uri.substring(0, mark);
        String query = mark < 0 ? "" : uri.substring(mark + 1);
        return new RequestHead(request.method().name(), path, query, request.headers());
    }

    private Refusal tooLarge() {
        return Refusal.of(
                RefusalType.BODY_TOO_LARGE,
                "the body exceeds the limit of " + limits.maxBodyBytes() + " bytes",
                Fate.NOT_RUN);
    }

    private Refusal tooMuchHeld() {
        return Refusal.of(
                        RefusalType.OVERLOADED,
                        "this instance holds " + budget.heldBytes() + " bytes of request bodies, its limit",
                        Fate.NOT_RUN)
                .retryAt(clock.nowMs() + BUDGET_RETRY_MS);
    }

    private static Refusal malformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return Refusal.of(RefusalType.HEADERS_TOO_LARGE, "the start line exceeds its limit", Fate.NOT_RUN);
        }
        if (cause instanceof TooLongFrameException) {
            return Refusal.of(
                    RefusalType.HEADERS_TOO_LARGE, "the header fields exceed the limit of the settings", Fate.NOT_RUN);
        }
        return Refusal.of(RefusalType.MALFORMED_REQUEST, "the request is not well-formed HTTP/1.1", Fate.NOT_RUN);
    }
}
