package org.ibissaddle.daemon.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.daemon.log.DecisionLog;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.id.Address;
import org.ibissaddle.port.Clock;

/** A running entry instance. */
public final class Gateway implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1_024;
    /** How often connections are looked at for callers that are slow or idle, milliseconds. */
    private static final long SWEEP_MS = 250;
    /** Callers that kept an answer of the directory still come for this long after the signal, milliseconds. */
    private static final long LINGER_MS = 2_500;
    /** Part of the grace after which what still runs is cut; the platform kills the process at its end. */
    private static final double GRACE_SHARE = 0.95;

    private static final long DRAIN_LOOK_MS = 50;

    private final EventLoopGroup group;
    private final GatewayCore core;
    private final DecisionLog log;

    private Gateway(EventLoopGroup group, GatewayCore core, DecisionLog log) {
        this.group = group;
        this.core = core;
        this.log = log;
    }

    /**
     * Starts an entry instance.
     *
     * @param settings its settings
     * @param clock steady time
     * @param logOutput where its log lines go
     * @return the running instance
     * @throws IOException when an address can't be listened on
     */
    public static Gateway start(GatewaySettings settings, Clock clock, OutputStream logOutput) throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        DecisionLog log = new DecisionLog(settings.name().name(), logOutput);
        EventLoop loop = group.next();
        GatewayCore core = new GatewayCore(settings, loop, clock, log);
        Gateway gateway = new Gateway(group, core, log);
        StoreFeed feed = new StoreFeed(core);
        loop.execute(() -> {
            feed.start();
            core.peerCalls().start(feed::isReachable);
            core.waiting().start();
            new CacheFeed(core).start();
            core.every(gateway::sweep, SWEEP_MS);
        });
        try {
            gateway.listenAll(settings);
        } catch (IOException e) {
            gateway.close();
            throw e;
        }
        log.notable("started", "region", settings.region(), "zone", settings.zone(), "store", settings.storeAddress());
        return gateway;
    }

    /**
     * Leaves: says so to callers and instances, finishes what runs, and returns when nothing runs or the grace is over.
     *
     * @throws InterruptedException when the thread is interrupted
     */
    public void drain() throws InterruptedException {
        long startMs = core.nowMs();
        long cutMs = startMs + (long) (core.settings().bounds().graceMs() * GRACE_SHARE);
        log.notable("stopping", "graceMs", core.settings().bounds().graceMs());
        CountDownLatch idle = new CountDownLatch(1);
        core.soon(() -> {
            core.startDraining(cutMs);
            core.peerCalls().announce();
            lookWhetherIdle(startMs + LINGER_MS, cutMs, idle);
        });
        idle.await(core.settings().bounds().graceMs(), TimeUnit.MILLISECONDS);
        log.notable("stopped", "afterMs", core.nowMs() - startMs);
    }

    /**
     * Puts new settings into force: seeds and bounds; addresses and names stay as they were at the start.
     *
     * @param settings the new settings
     */
    public void reload(GatewaySettings settings) {
        core.soon(() -> {
            core.reload(settings);
            log.notable("settings-reloaded", "seeds", settings.seeds());
        });
    }

    /**
     * Notes that new settings can't be used; the old ones stay in force.
     *
     * @param reason what is wrong with them
     */
    public void reloadFailed(SettingsException reason) {
        log.notable("settings-refused", "reason", reason.getMessage());
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        log.close();
    }

    private void lookWhetherIdle(long lingerUntilMs, long cutMs, CountDownLatch idle) {
        long nowMs = core.nowMs();
        if (nowMs >= lingerUntilMs) {
            List.copyOf(core.connections()).forEach(InboundHandler::closeIfIdle);
        }
        if ((nowMs >= lingerUntilMs && core.connections().isEmpty()) || nowMs >= cutMs) {
            idle.countDown();
            return;
        }
        core.schedule(() -> lookWhetherIdle(lingerUntilMs, cutMs, idle), DRAIN_LOOK_MS);
    }

    private void sweep() {
        long nowMs = core.nowMs();
        for (InboundHandler connection : List.copyOf(core.connections())) {
            connection.sweep(core.limits(), nowMs);
        }
    }

    private void listenAll(GatewaySettings settings) throws IOException {
        listen(settings.peerAddress(), requests(true));
        listen(settings.callerAddress(), requests(false));
        listen(settings.directoryAddress(), questions());
        if (!settings.readinessAddress().equals(settings.directoryAddress())) {
            listen(settings.readinessAddress(), questions());
        }
        if (settings.metricsPort() > 0) {
            listen(new Address(settings.callerAddress().host(), settings.metricsPort()), questions());
        }
    }

    private void listen(Address address, ChannelInitializer<Channel> connections) throws IOException {
        try {
            new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(connections)
                    .bind(new InetSocketAddress(address.host(), address.port()))
                    .sync();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while listening on " + address, e);
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    private ChannelInitializer<Channel> requests(boolean fromPeer) {
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
                                new ArrivalMark(handler),
                                new StrictRequestDecoder(config),
                                new HttpResponseEncoder(),
                                handler);
            }
        };
    }

    private ChannelInitializer<Channel> questions() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new StrictRequestDecoder(new HttpDecoderConfig()),
                                new HttpResponseEncoder(),
                                new QuestionHandler(core));
            }
        };
    }

    /** Tells a connection that bytes came in. */
    private static final class ArrivalMark extends ChannelInboundHandlerAdapter {
        private final InboundHandler handler;

        ArrivalMark(InboundHandler handler) {
            this.handler = handler;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            handler.bytesArrived();
            context.fireChannelRead(message);
        }
    }
}
