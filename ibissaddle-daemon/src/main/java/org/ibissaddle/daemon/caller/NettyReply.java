package org.ibissaddle.daemon.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.ibissaddle.outcome.Fate;

/** A reply over a Netty channel, with at most one write buffer's worth of pieces waiting. */
final class NettyReply implements CallerReply {
    private static final String RAN = "x-ran";
    private static final int FIRST_ERROR_STATUS = 400;

    private final Channel channel;
    private final BooleanSupplier mayKeep;
    private final Runnable whenEnded;
    private final AtomicReference<Runnable> goneAction = new AtomicReference<>();
    private final AtomicReference<Thread> waiter = new AtomicReference<>();
    private volatile boolean keepAlive;
    private volatile boolean started;
    private volatile boolean ended;
    private volatile boolean gone;

    NettyReply(Channel channel, BooleanSupplier mayKeep, Runnable whenEnded) {
        this.channel = channel;
        this.mayKeep = mayKeep;
        this.whenEnded = whenEnded;
    }

    @Override
    public void whole(int status, Map<String, String> headers, byte[] body) throws IOException {
        requireCaller();
        started = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        headers.forEach((name, value) -> response.headers().set(name, value));
        setRan(response);
        HttpUtil.setContentLength(response, body.length);
        setConnection(response);
        finish(channel.writeAndFlush(response));
    }

    @Override
    public void start(int status, Map<String, String> headers) throws IOException {
        requireCaller();
        started = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.forEach((name, value) -> response.headers().set(name, value));
        setRan(response);
        HttpUtil.setTransferEncodingChunked(response, true);
        setConnection(response);
        channel.writeAndFlush(response);
    }

    @Override
    public void piece(byte[] bytes) throws IOException {
        waitUntilWritable();
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    @Override
    public void end() throws IOException {
        waitUntilWritable();
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void abort() {
        ended = true;
        channel.close();
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public void onGone(Runnable action) {
        goneAction.set(action);
        if (gone) {
            runGoneAction();
        }
    }

    /** Called by the channel's handler when the channel has become writable. */
    void writabilityChanged() {
        Thread thread = waiter.get();
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }

    /** Called by the channel's handler when the channel was closed. */
    void closed() {
        if (ended) {
            return;
        }
        gone = true;
        writabilityChanged();
        runGoneAction();
    }

    private void runGoneAction() {
        Runnable action = goneAction.getAndSet(null);
        if (action != null) {
            Thread.ofVirtual().start(action);
        }
    }

    private void finish(ChannelFuture written) {
        ended = true;
        written.addListener(future -> {
            if (!keepAlive) {
                channel.close();
            }
            whenEnded.run();
        });
    }

    private static void setRan(HttpResponse response) {
        boolean answered = response.status().code() < FIRST_ERROR_STATUS;
        if (answered && !response.headers().contains(RAN)) {
            response.headers().set(RAN, Fate.RAN.word());
        }
    }

    private void setConnection(HttpResponse response) {
        keepAlive = mayKeep.getAsBoolean();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void waitUntilWritable() throws IOException {
        requireCaller();
        if (channel.isWritable()) {
            return;
        }
        waiter.set(Thread.currentThread());
        try {
            while (!channel.isWritable()) {
                requireCaller();
                LockSupport.park(this);
            }
        } finally {
            waiter.set(null);
        }
    }

    private void requireCaller() throws IOException {
        if (gone || !channel.isActive()) {
            throw new CallerGoneException();
        }
    }
}
