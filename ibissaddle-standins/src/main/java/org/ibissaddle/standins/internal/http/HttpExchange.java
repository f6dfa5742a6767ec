package org.ibissaddle.standins.internal.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An HTTP request and its response. Confined to the event loop of the stand-in. */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, which onClose reports
public final class HttpExchange {
    private final Channel channel;
    private final String method;
    private final HttpHeaders headers;
    private final QueryStringDecoder uri;
    private final byte[] body;
    private final boolean keepAlive;
    private final Runnable onFinished;
    private Runnable closeAction = () -> {};
    private Runnable writableAction = () -> {};
    private boolean started;
    private boolean finished;

    HttpExchange(Channel channel, FullHttpRequest request, Runnable onFinished) {
        this.channel = channel;
        this.method = request.method().name();
        this.headers = request.headers().copy();
        this.uri = new QueryStringDecoder(request.uri());
        this.body = ByteBufUtil.getBytes(request.content());
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.onFinished = onFinished;
    }

    /** Returns the request method. */
    public String method() {
        return method;
    }

    /** Returns the decoded path. */
    public String path() {
        return uri.path();
    }

    /** Returns the path segments; the leading slash is ignored. */
    public List<String> segments() {
        return List.of(path().substring(1).split("/", -1));
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> query(String name) {
        return Optional.ofNullable(uri.parameters().get(name)).map(List::getFirst);
    }

    /** Returns the value of an integer query parameter. */
    public Optional<Long> queryNumber(String name) throws RequestRejectedException {
        Optional<String> value = query(name);
        return value.isEmpty() ? Optional.empty() : Optional.of(number(name, value.get()));
    }

    /** Returns the first value of a request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the value of an integer request header, or {@code defaultValue} if the header is missing. */
    public long headerNumber(String name, long defaultValue) throws RequestRejectedException {
        Optional<String> value = header(name);
        return value.isEmpty() ? defaultValue : number(name, value.get());
    }

    public byte[] body() {
        return body;
    }

    /** Sends a complete reply; does nothing if a reply was already started. */
    public void reply(Reply reply) {
        if (started) {
            return;
        }
        started = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        prepare(response, reply.contentType(), reply.headers());
        HttpUtil.setContentLength(response, reply.body().length);
        finish(response);
    }

    /** Starts a reply with a chunked body. */
    public void startStream(String contentType, Map<String, String> extraHeaders) {
        started = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        prepare(response, contentType, extraHeaders);
        HttpUtil.setTransferEncodingChunked(response, true);
        channel.writeAndFlush(response);
    }

    /** Writes a chunk of a streamed body. */
    public void write(byte[] chunk) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)));
    }

    /** Ends a streamed body. */
    public void endStream() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Returns whether the write buffer of the connection is below its high-water mark. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Returns whether the connection is open and the reply incomplete. */
    public boolean isOpen() {
        return channel.isActive() && !finished;
    }

    /** Closes the connection gracefully after all pending writes. */
    public void close() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection with a TCP reset. */
    public void reset() {
        resetChannel(channel);
    }

    /** Sets the action to run if the connection closes before the reply is complete. */
    public void onClose(Runnable action) {
        closeAction = action;
    }

    /** Sets the action to run when the connection becomes writable again. */
    public void onWritable(Runnable action) {
        writableAction = action;
    }

    /** Closes a channel with a TCP reset instead of a graceful shutdown. */
    public static void resetChannel(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    void onConnectionClosed() {
        if (!finished) {
            closeAction.run();
        }
    }

    void onConnectionWritable() {
        if (!finished) {
            writableAction.run();
        }
    }

    private void prepare(HttpResponse response, String contentType, Map<String, String> extraHeaders) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        extraHeaders.forEach((name, value) -> response.headers().set(name, value));
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(Object last) {
        finished = true;
        channel.writeAndFlush(last).addListener(written -> {
            if (!keepAlive) {
                channel.close();
            }
        });
        onFinished.run();
    }

    private static long number(String name, String value) throws RequestRejectedException {
        try {
            return Long.parseLong(value.strip());
        } catch (NumberFormatException e) {
            throw RequestRejectedException.badRequest("\"" + name + "\" is not an integer: \"" + value + "\"");
        }
    }
}
