package org.ibissaddle.daemon.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.daemon.log.DecisionLog;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.id.Address;
import org.ibissaddle.port.Clock;

/** A running gateway instance. */
public final class Gateway implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1_024;
    /** Maximum number of reads from a connection before the other connections are read. */
    private static final int MAX_READS_PER_PASS = 16;
    /** Maximum time to wait for the event loop to end, milliseconds. */
    private static final long MAX_CLOSE_MS = 5_000;
    /** Interval between checks for connections whose caller is slow or idle, milliseconds. */
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 250;
    /** Time after the stop signal in which callers still connect from a cached directory response, milliseconds. */
    private static final long LINGER_MS = 2_500;
    /**
     * Fraction of the grace period after which running requests are ended with an error response; the platform kills
     * the process at the end of the period.
     */
    private static final double GRACE_FRACTION = 0.95;

    private static final long DRAIN_CHECK_INTERVAL_MS = 50;
    /** Time to transmit the responses that end the remaining requests, milliseconds. */
    private static final long LAST_RESPONSES_MS = 100;

    private final EventLoopGroup group;
    private final GatewayCore core;
    private final DecisionLog log;
    /** Listening sockets for requests; confined to the event loop once the instance has started. */
    private final List<Channel> requestListeners = new ArrayList<>();

    private Gateway(EventLoopGroup group, GatewayCore core, DecisionLog log) {
        this.group = group;
        this.core = core;
        this.log = log;
    }

    /**
     * Starts a gateway instance.
     *
     * @param settings its settings
     * @param clock a monotonic clock
     * @param logOutput the stream that log lines are written to
     * @return the running instance
     * @throws IOException if the instance cannot listen on an address
     */
    public static Gateway start(GatewaySettings settings, Clock clock, OutputStream logOutput) throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        DecisionLog log = new DecisionLog(settings.name().name(), logOutput);
        EventLoop loop = group.next();
        GatewayCore core = new GatewayCore(settings, loop, clock, log);
        Gateway gateway = new Gateway(group, core, log);
        try {
            gateway.listenAll(settings);
        } catch (IOException e) {
            gateway.close();
            throw e;
        }
        StoreWatcher storeWatcher = new StoreWatcher(core);
        loop.execute(() -> {
            storeWatcher.start();
            core.peerGossip().start(storeWatcher);
            core.requestQueue().start();
            core.startLagMeasurement();
            core.quotaService().start();
            new CacheEventPoller(core).start();
            core.scheduleWithFixedDelay(gateway::closeTimedOutConnections, TIMEOUT_CHECK_INTERVAL_MS);
        });
        log.notice("started", "region", settings.region(), "zone", settings.zone(), "store", settings.storeAddress());
        return gateway;
    }

    /**
     * Drains the instance: notifies callers and other instances, completes running requests, and returns when none runs
     * or the grace period has ended. Requests that still run then are ended with an error response.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain() throws InterruptedException {
        long startMs = core.nowMs();
        long cutoffMs = startMs + (long) (core.settings().platformLimits().stopGraceMs() * GRACE_FRACTION);
        log.notice("stopping", "graceMs", core.settings().platformLimits().stopGraceMs());
        CountDownLatch idle = new CountDownLatch(1);
        core.execute(() -> {
            core.startDraining(cutoffMs);
            core.peerGossip().announce();
            checkIdle(startMs + LINGER_MS, cutoffMs, idle);
        });
        idle.await(core.settings().platformLimits().stopGraceMs(), TimeUnit.MILLISECONDS);
        log.notice("stopped", "afterMs", core.nowMs() - startMs);
    }

    /**
     * Applies the zones, seeds and bounds of new settings; addresses and names stay as they were at the start.
     *
     * @param settings the new settings
     */
    public void reload(GatewaySettings settings) {
        core.execute(() -> {
            core.reload(settings);
            log.notice("settings-reloaded", "seeds", settings.seeds());
        });
    }

    /**
     * Logs that new settings are invalid; the current ones stay in use.
     *
     * @param reason the faults of the new settings
     */
    public void logReloadFailure(SettingsException reason) {
        log.notice("settings-refused", "reason", reason.getMessage());
    }

    /** Logs a stop signal that was received while the instance drains; it does not shorten the grace period. */
    public void logRepeatedStop() {
        log.notice("stop-signal-ignored", "reason", "the instance is stopping already");
    }

    /** Ends all requests and connections, and returns when the ports are free for another instance. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(MAX_CLOSE_MS);
        log.close();
    }

    private void checkIdle(long lingerUntilMs, long cutoffMs, CountDownLatch idle) {
        long nowMs = core.nowMs();
        if (nowMs >= lingerUntilMs) {
            List.copyOf(core.connections()).forEach(connection -> connection.closeIfIdle(nowMs));
        }
        if (nowMs >= lingerUntilMs && core.connections().isEmpty()) {
            stopListening("idle");
            idle.countDown();
            return;
        }
        if (nowMs >= cutoffMs) {
            stopListening("grace-period-over");
            List.copyOf(core.connections()).forEach(InboundHandler::endForShutdown);
            core.schedule(idle::countDown, LAST_RESPONSES_MS);
            return;
        }
        core.schedule(() -> checkIdle(lingerUntilMs, cutoffMs, idle), DRAIN_CHECK_INTERVAL_MS);
    }

    /**
     * Closes the listening sockets in the same task that ends the drain. The event loop runs on until the main thread
     * closes it, and would otherwise accept requests that are cut then.
     */
    private void stopListening(String reason) {
        requestListeners.forEach(Channel::close);
        requestListeners.clear();
        log.notice(
                "listening-ended",
                "reason",
                reason,
                "connections",
                core.connections().size());
    }

    private void closeTimedOutConnections() {
        long nowMs = core.nowMs();
        for (InboundHandler connection : List.copyOf(core.connections())) {
            connection.closeIfTimedOut(core.limits(), nowMs);
        }
    }

    private void listenAll(GatewaySettings settings) throws IOException {
        requestListeners.add(listen(settings.peerAddress(), requestInitializer(true)));
        requestListeners.add(listen(settings.callerAddress(), requestInitializer(false)));
        listen(settings.directoryAddress(), managementInitializer());
        if (!settings.readinessAddress().equals(settings.directoryAddress())) {
            listen(settings.readinessAddress(), managementInitializer());
        }
        if (settings.metricsPort() > 0) {
            listen(new Address(settings.callerAddress().host(), settings.metricsPort()), managementInitializer());
        }
    }

    private Channel listen(Address address, ChannelInitializer<Channel> connections) throws IOException {
        try {
            return new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.RECVBUF_ALLOCATOR, newBufferAllocator())
                    .childHandler(connections)
                    .bind(new InetSocketAddress(address.host(), address.port()))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while listening on " + address, e);
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Returns an allocator with which a connection is read until it is empty, so that its end is noticed at once. */
    private static RecvByteBufAllocator newBufferAllocator() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false);
        allocator.maxMessagesPerRead(MAX_READS_PER_PASS);
        return allocator;
    }

    private ChannelInitializer<Channel> requestInitializer(boolean fromPeer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                InboundHandler handler = new InboundHandler(core, fromPeer);
                HttpDecoderConfig config = new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(core.limits().maxHeaderBytes())
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
                channel.pipeline()
                        .addLast(
                                new ReadNotifier(handler),
                                new StrictRequestDecoder(config),
                                new HttpResponseEncoder(),
                                handler);
            }
        };
    }

    private ChannelInitializer<Channel> managementInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new StrictRequestDecoder(new HttpDecoderConfig()),
                                new HttpResponseEncoder(),
                                new ManagementHandler(core));
            }
        };
    }

    /** Notifies the handler of a connection that bytes were read. */
    private static final class ReadNotifier extends ChannelInboundHandlerAdapter {
        private final InboundHandler handler;

        ReadNotifier(InboundHandler handler) {
            this.handler = handler;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            handler.onBytesRead();
            context.fireChannelRead(message);
        }
    }
}
