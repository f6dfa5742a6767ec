package org.ibissaddle.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.ibissaddle.port.Clock;

/** Sends requests and keeps connections. Every method is called on the event loop. */
public final class HttpClient {
    /** Largest head of an answer, bytes; twice what callers may send. */
    private static final int MAX_HEAD_BYTES = 32_768;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    /** Idle connections kept to one endpoint. */
    private static final int MAX_IDLE = 64;

    private final EventLoop loop;
    private final Clock clock;
    private final Consumer<Endpoint> onUnexpectedClose;
    private final Map<Endpoint, Deque<ClientConnection>> idle = new HashMap<>();

    /**
     * Makes a client.
     *
     * @param loop the event loop
     * @param clock steady time
     * @param onUnexpectedClose hears that an idle connection was closed sooner than announced
     */
    public HttpClient(EventLoop loop, Clock clock, Consumer<Endpoint> onUnexpectedClose) {
        this.loop = loop;
        this.clock = clock;
        this.onUnexpectedClose = onUnexpectedClose;
    }

    /**
     * How a call is sent.
     *
     * @param maxIdleMs longest idle time of a kept connection that may be used, milliseconds; 0 for a new one
     * @param connectTimeoutMs longest time to open a connection, milliseconds
     */
    public record SendOptions(long maxIdleMs, int connectTimeoutMs) {}

    /**
     * Sends a request.
     *
     * @param endpoint whom to
     * @param head method, target and headers, with the length of the body
     * @param body the body, released by this call
     * @param options how
     * @param listener hears how it goes
     * @return the call
     */
    public Call send(Endpoint endpoint, HttpRequest head, ByteBuf body, SendOptions options, AnswerListener listener) {
        Call call = new Call(head, body, listener);
        ClientConnection kept = takeIdle(endpoint, options.maxIdleMs());
        if (kept != null) {
            kept.start(call, true);
            return call;
        }
        ClientConnection fresh = new ClientConnection(this, endpoint, clock);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(codec(), fresh);
                    }
                })
                .connect(new InetSocketAddress(
                        endpoint.address().host(), endpoint.address().port()));
        call.connecting(connecting.channel());
        connecting.addListener(done -> connected(connecting, fresh, call));
        return call;
    }

    /**
     * Forgets the idle connections to an endpoint, since it is gone or may have restarted.
     *
     * @param endpoint the endpoint
     */
    public void closeIdle(Endpoint endpoint) {
        Deque<ClientConnection> connections = idle.remove(endpoint);
        if (connections != null) {
            connections.forEach(ClientConnection::discard);
        }
    }

    void keep(Endpoint endpoint, ClientConnection connection) {
        Deque<ClientConnection> connections = idle.computeIfAbsent(endpoint, key -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE) {
            connections.pollLast().discard();
        }
        connections.addFirst(connection);
    }

    void closedWhileIdle(Endpoint endpoint, ClientConnection connection, boolean expected) {
        Deque<ClientConnection> connections = idle.get(endpoint);
        if (connections == null || !connections.remove(connection)) {
            return;
        }
        if (connections.isEmpty()) {
            idle.remove(endpoint);
        }
        if (!expected) {
            onUnexpectedClose.accept(endpoint);
        }
    }

    private static HttpClientCodec codec() {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        return new HttpClientCodec(config, false, false);
    }

    private ClientConnection takeIdle(Endpoint endpoint, long maxIdleMs) {
        Deque<ClientConnection> connections = idle.get(endpoint);
        if (connections == null || maxIdleMs <= 0) {
            return null;
        }
        long nowMs = clock.nowMs();
        ClientConnection newest = connections.peekFirst();
        if (newest == null || !newest.isUsable(maxIdleMs, nowMs)) {
            return null;
        }
        return connections.pollFirst();
    }

    private static void connected(ChannelFuture connecting, ClientConnection fresh, Call call) {
        if (!connecting.isSuccess()) {
            call.fail(new CallFailure.NotSent("connect: " + connecting.cause().getMessage()));
            return;
        }
        if (call.isOver()) {
            connecting.channel().close();
            return;
        }
        fresh.start(call, false);
    }

    /** A request under way. */
    public static final class Call {
        private final HttpRequest head;
        private final AnswerListener listener;
        private ByteBuf body;
        private Channel channel;
        private boolean over;

        private Call(HttpRequest head, ByteBuf body, AnswerListener listener) {
            this.head = head;
            this.body = body;
            this.listener = listener;
        }

        /** Ends the call and its connection; nothing more is heard. */
        public void cancel() {
            if (over) {
                return;
            }
            finish();
            if (channel != null) {
                channel.close();
            }
        }

        /**
         * Holds back or lets in further pieces of the answer.
         *
         * @param reading whether to read on
         */
        public void setReading(boolean reading) {
            if (!over && channel != null) {
                channel.config().setAutoRead(reading);
            }
        }

        boolean isOver() {
            return over;
        }

        void connecting(Channel opening) {
            channel = opening;
        }

        HttpRequest head() {
            return head;
        }

        ByteBuf takeBody() {
            ByteBuf taken = body;
            body = Unpooled.EMPTY_BUFFER;
            return taken;
        }

        AnswerListener listener() {
            return listener;
        }

        void end() {
            if (!over) {
                finish();
                listener.onEnd();
            }
        }

        void fail(CallFailure failure) {
            if (!over) {
                finish();
                listener.onFailure(failure);
            }
        }

        private void finish() {
            over = true;
            body.release();
            body = Unpooled.EMPTY_BUFFER;
        }
    }
}
