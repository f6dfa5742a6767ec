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
import org.ibissaddle.outcome.ExecutionStatus;

/** Sends a response over a Netty channel; blocks while the write buffer of the channel is full. */
final class NettyResponseWriter implements ClientResponseWriter {
    private static final String RAN_HEADER = "x-ran";
    private static final int FIRST_ERROR_STATUS = 400;

    private final Channel channel;
    private final BooleanSupplier keepAliveAllowed;
    private final Runnable onComplete;
    private final AtomicReference<Runnable> disconnectAction = new AtomicReference<>();
    private final AtomicReference<Thread> blockedWriter = new AtomicReference<>();
    private volatile boolean keepAlive;
    private volatile boolean started;
    private volatile boolean completed;
    private volatile boolean disconnected;

    NettyResponseWriter(Channel channel, BooleanSupplier keepAliveAllowed, Runnable onComplete) {
        this.channel = channel;
        this.keepAliveAllowed = keepAliveAllowed;
        this.onComplete = onComplete;
    }

    @Override
    public void sendComplete(int status, Map<String, String> headers, byte[] body) throws IOException {
        ensureConnected();
        started = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        headers.forEach((name, value) -> response.headers().set(name, value));
        setRanHeader(response);
        HttpUtil.setContentLength(response, body.length);
        setConnectionHeader(response);
        complete(channel.writeAndFlush(response));
    }

    @Override
    public void start(int status, Map<String, String> headers) throws IOException {
        ensureConnected();
        started = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.forEach((name, value) -> response.headers().set(name, value));
        setRanHeader(response);
        HttpUtil.setTransferEncodingChunked(response, true);
        setConnectionHeader(response);
        channel.writeAndFlush(response);
    }

    @Override
    public void sendChunk(byte[] bytes) throws IOException {
        waitUntilWritable();
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    @Override
    public void end() throws IOException {
        waitUntilWritable();
        complete(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void abort() {
        completed = true;
        channel.close();
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction.set(action);
        if (disconnected) {
            runDisconnectAction();
        }
    }

    /** Called by the channel handler when the writability of the channel has changed. */
    void onWritabilityChanged() {
        Thread thread = blockedWriter.get();
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }

    /** Called by the channel handler when the channel has been closed. */
    void onChannelClosed() {
        if (completed) {
            return;
        }
        disconnected = true;
        onWritabilityChanged();
        runDisconnectAction();
    }

    private void runDisconnectAction() {
        Runnable action = disconnectAction.getAndSet(null);
        if (action != null) {
            Thread.ofVirtual().start(action);
        }
    }

    private void complete(ChannelFuture writeFuture) {
        completed = true;
        writeFuture.addListener(future -> {
            if (!keepAlive) {
                channel.close();
            }
            onComplete.run();
        });
    }

    private static void setRanHeader(HttpResponse response) {
        boolean successful = response.status().code() < FIRST_ERROR_STATUS;
        if (successful && !response.headers().contains(RAN_HEADER)) {
            response.headers().set(RAN_HEADER, ExecutionStatus.RAN.wireName());
        }
    }

    private void setConnectionHeader(HttpResponse response) {
        keepAlive = keepAliveAllowed.getAsBoolean();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void waitUntilWritable() throws IOException {
        ensureConnected();
        if (channel.isWritable()) {
            return;
        }
        blockedWriter.set(Thread.currentThread());
        try {
            while (!channel.isWritable()) {
                ensureConnected();
                LockSupport.park(this);
            }
        } finally {
            blockedWriter.set(null);
        }
    }

    private void ensureConnected() throws IOException {
        if (disconnected || !channel.isActive()) {
            throw new ClientDisconnectedException();
        }
    }
}
