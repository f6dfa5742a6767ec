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

/** Writes refusals that are given before a request's body was taken. */
final class RefusalWriter {
    private static final long LINGER_MS = 2_000;

    private RefusalWriter() {}

    /** Writes a refusal; the connection stays open. */
    static void write(ChannelHandlerContext ctx, Refusal refusal, long nowMs) {
        ctx.writeAndFlush(response(refusal, nowMs));
    }

    /**
     * Writes a refusal and closes. The connection is closed for writing first and for reading a little later, since a
     * reset would take the refusal away from a caller that is still sending.
     */
    static void writeAndClose(ChannelHandlerContext ctx, Refusal refusal, long nowMs) {
        FullHttpResponse response = response(refusal, nowMs);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(written -> linger(ctx));
    }

    private static void linger(ChannelHandlerContext ctx) {
        Channel channel = ctx.channel();
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        ctx.executor().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
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
