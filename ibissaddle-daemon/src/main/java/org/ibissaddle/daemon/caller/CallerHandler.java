package org.ibissaddle.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;

/** Reads requests of one connection one after the other; collects each body in bounded memory. */
final class CallerHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_PARTS = 64;
    private static final String TICKET = "X-Ticket";

    private final CallerService service;
    private final int maxBodyBytes;
    private final Clock clock;
    private final ArrayDeque<Object> waiting = new ArrayDeque<>();
    private HttpRequest head;
    private CompositeByteBuf body;
    private long arrivedAtMs;
    private NettyReply current;
    private boolean refused;

    CallerHandler(CallerService service, int maxBodyBytes, Clock clock) {
        this.service = service;
        this.maxBodyBytes = maxBodyBytes;
        this.clock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (refused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (current != null) {
            waiting.add(message);
            ctx.channel().config().setAutoRead(waiting.size() < MAX_PIPELINED_PARTS);
            return;
        }
        accept(ctx, message);
    }

    private void accept(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request) {
            acceptHead(ctx, request);
        }
        if (message instanceof HttpContent content && !refused) {
            acceptContent(ctx, content);
            return;
        }
        ReferenceCountUtil.release(message);
    }

    private void acceptHead(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        arrivedAtMs = clock.nowMs();
        if (request.decoderResult().isFailure()) {
            refuse(ctx, malformed(request.decoderResult().cause()));
            return;
        }
        RequestHead asked = requestHead(request);
        if (asked.contentLength().orElse(0) > maxBodyBytes) {
            refuse(ctx, tooLarge());
            return;
        }
        Optional<Refusal> refusal = service.check(asked);
        if (refusal.isPresent()) {
            refuse(ctx, refusal.get());
            return;
        }
        body = ctx.alloc().compositeBuffer(Integer.MAX_VALUE);
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void acceptContent(ChannelHandlerContext ctx, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            refuse(ctx, malformed(content.decoderResult().cause()));
            return;
        }
        ByteBuf bytes = content.content();
        if (body.readableBytes() + bytes.readableBytes() > maxBodyBytes) {
            content.release();
            refuse(ctx, tooLarge());
            return;
        }
        body.addComponent(true, bytes);
        if (content instanceof LastHttpContent) {
            serve(ctx);
        }
    }

    private void serve(ChannelHandlerContext ctx) {
        byte[] bytes = ByteBufUtil.getBytes(body);
        releaseBody();
        HttpRequest asked = head;
        CallerRequest request = new CallerRequest(requestHead(asked), bytes, arrivedAtMs);
        NettyReply reply =
                new NettyReply(ctx.channel(), () -> HttpUtil.isKeepAlive(asked) && !service.leaving(), () -> next(ctx));
        current = reply;
        Thread.ofVirtual().name("request").start(() -> service.serve(request, reply));
    }

    private void next(ChannelHandlerContext ctx) {
        current = null;
        while (current == null && !refused && !waiting.isEmpty()) {
            accept(ctx, waiting.poll());
        }
        ctx.channel().config().setAutoRead(true);
    }

    private void refuse(ChannelHandlerContext ctx, Refusal why) {
        Refusal refusal = head.headers().contains(TICKET) ? why.withFate(Fate.UNKNOWN) : why;
        refused = true;
        releaseBody();
        ctx.channel().config().setAutoRead(false);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.type().status()),
                Unpooled.wrappedBuffer(RefusalJson.encode(refusal)));
        RefusalJson.headers(refusal, clock.nowMs())
                .forEach((name, value) -> response.headers().set(name, value));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
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
                RefusalType.BODY_TOO_LARGE, "the body exceeds the limit of " + maxBodyBytes + " bytes", Fate.NOT_RUN);
    }

    private static Refusal malformed(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return Refusal.of(
                    RefusalType.HEADERS_TOO_LARGE, "the header fields exceed the limit of the settings", Fate.NOT_RUN);
        }
        return Refusal.of(RefusalType.MALFORMED_REQUEST, "the request is not well-formed HTTP/1.1", Fate.NOT_RUN);
    }
}
