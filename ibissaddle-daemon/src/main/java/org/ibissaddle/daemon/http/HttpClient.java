package org.ibissaddle.daemon.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.port.Clock;

/** An HTTP client with a pool of idle connections. All methods must be called on the event loop. */
public final class HttpClient {
    /** Maximum size of the response headers, in bytes; twice the size allowed for request headers of callers. */
    static final int MAX_HEAD_BYTES = 32_768;

    /** Maximum number of idle connections in the pool for one endpoint. */
    private static final int MAX_IDLE_PER_ENDPOINT = 64;

    private final EventLoop loop;
    private final Clock clock;
    private final Consumer<Endpoint> onUnexpectedClose;
    private final Map<PoolKey, Deque<ClientConnection>> idleConnections = new HashMap<>();

    /**
     * Key of a pool of idle connections. A late second response to a request without an id, such as a health check, can
     * only be told from the body of another response by its connection. Requests with an id therefore never use a
     * connection that has carried one without.
     */
    private record PoolKey(Endpoint endpoint, boolean withIds) {}

    /**
     * Creates a client.
     *
     * @param loop the event loop
     * @param clock monotonic clock
     * @param onUnexpectedClose called when the remote end closes an idle connection while it could still have been
     *     reused
     */
    public HttpClient(EventLoop loop, Clock clock, Consumer<Endpoint> onUnexpectedClose) {
        this.loop = loop;
        this.clock = clock;
        this.onUnexpectedClose = onUnexpectedClose;
    }

    /**
     * Options for sending a request.
     *
     * @param maxIdleMs maximum idle time of a connection to reuse, in milliseconds; 0 opens a new connection that is
     *     closed after the response
     * @param connectTimeoutMs timeout for opening a connection, in milliseconds
     */
    public record SendOptions(long maxIdleMs, int connectTimeoutMs) {}

    /**
     * Sends a request.
     *
     * @param endpoint the destination
     * @param head method, target and headers, including {@code Content-Length}
     * @param body the body; the client takes ownership and releases it
     * @param options options for sending
     * @param listener receives the response
     * @return the call
     */
    public Call send(
            Endpoint endpoint, HttpRequest head, ByteBuf body, SendOptions options, ResponseListener listener) {
        Call call = new Call(head, body, listener);
        call.keepsConnection = options.maxIdleMs() > 0;
        ClientConnection pooled = takeIdle(endpoint, call.hasId(), options.maxIdleMs());
        if (pooled != null) {
            pooled.start(call, true);
            return call;
        }
        ClientConnection connection = new ClientConnection(this, endpoint, clock);
        ChannelFuture connectFuture = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.addHandlers(channel.pipeline());
                    }
                })
                .connect(new InetSocketAddress(
                        endpoint.address().host(), endpoint.address().port()));
        call.attachChannel(connectFuture.channel());
        // Connections that are ready at the same time are read first: the caller of the request may have left.
        connectFuture.addListener(ignored -> loop.execute(() -> onConnected(connectFuture, connection, call)));
        return call;
    }

    /**
     * Closes the idle connections to an endpoint that was removed or may have restarted.
     *
     * @param endpoint the endpoint
     */
    public void closeIdleConnections(Endpoint endpoint) {
        for (boolean withIds : new boolean[] {true, false}) {
            Deque<ClientConnection> connections = idleConnections.remove(new PoolKey(endpoint, withIds));
            if (connections != null) {
                connections.forEach(ClientConnection::discard);
            }
        }
    }

    void addIdle(Endpoint endpoint, ClientConnection connection) {
        Deque<ClientConnection> connections = idleConnections.computeIfAbsent(
                new PoolKey(endpoint, connection.hasOnlyIds()), key -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE_PER_ENDPOINT) {
            connections.pollLast().discard();
        }
        connections.addFirst(connection);
    }

    void onIdleClosed(Endpoint endpoint, ClientConnection connection, boolean expected) {
        PoolKey key = new PoolKey(endpoint, connection.hasOnlyIds());
        Deque<ClientConnection> connections = idleConnections.get(key);
        if (connections == null || !connections.remove(connection)) {
            return;
        }
        if (connections.isEmpty()) {
            idleConnections.remove(key);
        }
        if (!expected) {
            onUnexpectedClose.accept(endpoint);
        }
    }

    /** Takes an idle connection for a request with or without an id; returns null if there is none. */
    ClientConnection takeIdle(Endpoint endpoint, boolean withId, long maxIdleMs) {
        Deque<ClientConnection> connections = idleConnections.get(new PoolKey(endpoint, withId));
        if (connections == null || maxIdleMs <= 0) {
            return null;
        }
        long nowMs = clock.nowMs();
        ClientConnection newest = connections.peekFirst();
        if (newest == null || !newest.isReusable(maxIdleMs, nowMs)) {
            return null;
        }
        return connections.pollFirst();
    }

    private static void onConnected(ChannelFuture connectFuture, ClientConnection connection, Call call) {
        if (!connectFuture.isSuccess()) {
            call.fail(connectFailure(connectFuture.cause()));
            return;
        }
        if (call.isDone() || !call.listener().isStillWanted()) {
            call.cancel();
            connectFuture.channel().close();
            return;
        }
        connection.start(call, false);
    }

    /** Distinguishes an unreachable destination from a lack of sockets or ports in this process. */
    static CallFailure connectFailure(Throwable cause) {
        String reason = "connect: " + cause.getMessage();
        boolean local = cause instanceof ChannelException
                || cause instanceof BindException
                || cause.getCause() instanceof BindException;
        return local ? new CallFailure.LocalError(reason, false) : new CallFailure.NotSent(reason);
    }

    /** A request in progress. */
    public static final class Call {
        private final HttpRequest head;
        private final ResponseListener listener;
        private ByteBuf body;
        private Channel channel;
        private boolean done;
        private boolean connectionReused;
        private boolean keepsConnection = true;

        Call(HttpRequest head, ByteBuf body, ResponseListener listener) {
            this.head = head;
            this.body = body;
            this.listener = listener;
        }

        /**
         * Cancels the call and resets its connection, so that what has not been transmitted of the request is
         * discarded. The listener is not called again.
         */
        public void cancel() {
            if (done) {
                return;
            }
            markDone();
            if (channel != null && channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        /**
         * Pauses or resumes reading of the response, for backpressure.
         *
         * @param reading true to read, false to pause
         */
        public void setAutoRead(boolean reading) {
            if (!done && channel != null) {
                channel.config().setAutoRead(reading);
            }
        }

        /**
         * Returns whether the connection has carried earlier requests.
         *
         * @return true if bytes of an earlier response may still arrive on it
         */
        public boolean isConnectionReused() {
            return connectionReused;
        }

        void setConnectionReused(boolean reused) {
            connectionReused = reused;
        }

        boolean isDone() {
            return done;
        }

        /** Returns whether other calls may use the connection afterwards. */
        boolean keepsConnection() {
            return keepsConnection;
        }

        void attachChannel(Channel newChannel) {
            channel = newChannel;
        }

        HttpRequest head() {
            return head;
        }

        boolean hasId() {
            return head.headers().contains(PlatformHeaders.REQUEST_ID);
        }

        ByteBuf takeBody() {
            ByteBuf taken = body;
            body = Unpooled.EMPTY_BUFFER;
            return taken;
        }

        ResponseListener listener() {
            return listener;
        }

        void complete() {
            if (!done) {
                markDone();
                listener.onComplete();
            }
        }

        void fail(CallFailure failure) {
            if (!done) {
                markDone();
                listener.onFailure(failure);
            }
        }

        private void markDone() {
            done = true;
            body.release();
            body = Unpooled.EMPTY_BUFFER;
        }
    }
}
