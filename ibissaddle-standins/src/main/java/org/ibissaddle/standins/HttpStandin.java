package org.ibissaddle.standins;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.ibissaddle.standins.internal.http.ExchangeHandler;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** Base class of the stand-ins: an HTTP/1.1 server on the loopback interface with state confined to one event loop. */
public abstract class HttpStandin implements AutoCloseable {
    /** A port that was free can be taken before it is bound, or be held for a moment by a process being forked. */
    private static final int MAX_BIND_ATTEMPTS = 5;

    private static final long BIND_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final long SHUTDOWN_TIMEOUT_MS = 2_000;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final String name;
    private final EventLoop loop;
    private final ChannelGroup connections;
    private volatile int port;
    private volatile Optional<Channel> listener = Optional.empty();

    /**
     * Creates a stand-in that is not listening yet.
     *
     * @param name the name used in messages
     * @param port the port to listen on; 0 selects a free port
     * @param group the event loop group, of which the stand-in uses one loop
     */
    protected HttpStandin(String name, int port, EventLoopGroup group) {
        this.name = name;
        this.port = port;
        this.loop = group.next();
        this.connections = new DefaultChannelGroup(loop);
    }

    /** Creates an event loop group with the NIO transport; the caller must shut it down. */
    public static EventLoopGroup newEventLoops(int threads) {
        return new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Shuts down an event loop group without a quiet period and waits for its termination. */
    public static void shutdownEventLoops(EventLoopGroup group) {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Starts listening; reuses the same port after a {@link #close()}. */
    public void start() throws StandinStartException {
        boolean anyPort = port == 0;
        ChannelFuture bound = bind(anyPort ? allocatePort() : port);
        for (int i = 1; i < MAX_BIND_ATTEMPTS && !bound.isSuccess(); i++) {
            LockSupport.parkNanos(BIND_RETRY_DELAY_NANOS);
            bound = bind(anyPort ? allocatePort() : port);
        }
        if (!bound.isSuccess()) {
            throw new StandinStartException(name, port, bound.cause());
        }
        listener = Optional.of(bound.channel());
        port = address().getPort();
    }

    private ChannelFuture bind(int listeningPort) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer())
                .bind(InetAddress.getLoopbackAddress(), listeningPort)
                .awaitUninterruptibly();
    }

    private int allocatePort() throws StandinStartException {
        try {
            return Ports.allocate(InetAddress.getLoopbackAddress().getHostAddress());
        } catch (IOException e) {
            throw new StandinStartException(name, 0, e);
        }
    }

    /** Returns the name used in messages. */
    public final String name() {
        return name;
    }

    /** Returns the listening address. */
    public final InetSocketAddress address() {
        Channel channel =
                listener.orElseThrow(() -> new IllegalStateException("stand-in \"" + name + "\" has not been started"));
        return channel.localAddress() instanceof InetSocketAddress address
                ? address
                : new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        listener.ifPresent(channel -> channel.close().awaitUninterruptibly());
        connections.close().awaitUninterruptibly();
    }

    /** Handles a request; runs on the event loop and must not block. */
    protected abstract void handle(HttpExchange exchange) throws RequestRejectedException;

    /** Returns the idle timeout of connections in milliseconds; 0 disables it. */
    protected long idleTimeoutMs() {
        return 0;
    }

    /** Stops listening and resets all connections without waiting for completion. */
    protected final void abort() {
        listener.ifPresent(channel -> {
            var unused = channel.close();
        });
        connections.forEach(HttpExchange::resetChannel);
    }

    /** Returns the event loop that all state of the stand-in is confined to. */
    protected final EventLoop loop() {
        return loop;
    }

    /** Runs an action on the event loop after a delay. */
    protected final void schedule(long delayMs, Runnable action) {
        var unused = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Runs an action on the event loop and waits for its result. */
    protected final <T> T onLoop(Callable<T> action) {
        if (!loop.inEventLoop()) {
            return loop.submit(action).syncUninterruptibly().getNow();
        }
        try {
            return action.call();
        } catch (Exception e) {
            throw new IllegalStateException("stand-in \"" + name + "\" failed", e);
        }
    }

    /** Returns a reply that names the request, if the request has an id. */
    static Reply withRequestId(HttpExchange exchange, Reply reply) {
        return exchange.header("X-Request-Id")
                .map(id -> reply.withHeader("X-Request-Id", id))
                .orElse(reply);
    }

    private void dispatch(HttpExchange exchange) {
        try {
            handle(exchange);
        } catch (RequestRejectedException e) {
            exchange.reply(withRequestId(exchange, e.toReply()));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("event=handler-failed standin=%s path=%s", name, exchange.path());
            exchange.reset();
        }
    }

    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec(MAX_LINE_BYTES, MAX_LINE_BYTES, MAX_CHUNK_BYTES))
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new ExchangeHandler(HttpStandin.this::dispatch, HttpStandin.this::idleTimeoutMs));
        }
    }
}
