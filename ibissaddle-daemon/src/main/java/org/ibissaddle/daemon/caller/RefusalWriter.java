package org.ibissaddle.daemon.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.outcome.Refusal;

/** Writes refusals of requests whose body has not been read completely. */
final class RefusalWriter {
    private static final long LINGERING_CLOSE_MS = 2_000;

    private RefusalWriter() {}

    /** Writes a refusal and keeps the connection open. */
    static void write(ChannelHandlerContext ctx, Refusal refusal, long nowMs) {
        ctx.writeAndFlush(response(refusal, nowMs));
    }

    /**
     * Writes a refusal and closes the connection. The output is shut down first and the connection closed after a
     * delay, because a TCP reset could discard the refusal before a client that is still sending has read it.
     */
    static void writeAndClose(ChannelHandlerContext ctx, Refusal refusal, long nowMs) {
        FullHttpResponse response = response(refusal, nowMs);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(written -> lingeringClose(ctx));
    }

    private static void lingeringClose(ChannelHandlerContext ctx) {
        Channel channel = ctx.channel();
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        ctx.executor().schedule(() -> channel.close(), LINGERING_CLOSE_MS, TimeUnit.MILLISECONDS);
    }

    private static FullHttpResponse response(Refusal refusal, long nowMs) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.type().status()),
                Unpooled.wrappedBuffer(RefusalJson.encode(refusal)));
        RefusalJson.headers(refusal, nowMs)
                .forEach((name, value) -> response.headers().set(name, value));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return response;
    }
}
