package org.ibissaddle.daemon.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.id.Address;
import org.ibissaddle.port.Clock;

/** Listens for callers. */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_START_LINE_BYTES = 4096;
    private static final int LOW_WATER_BYTES = 16 * 1024;
    private static final int HIGH_WATER_BYTES = 64 * 1024;
    private static final int BACKLOG = 1024;
    private static final long QUIET_MS = 0;
    private static final long STOP_MS = 2000;
    private static final long IDLE_MS = 120_000;
    private static final long HEAP_PARTS_PER_BODIES = 4;

    private final EventLoopGroup group;
    private final Channel listening;

    private CallerServer(EventLoopGroup group, Channel listening) {
        this.group = group;
        this.listening = listening;
    }

    /**
     * Starts to listen.
     *
     * @param address where to listen; port 0 lets the system choose
     * @param limits bounds of what callers may send
     * @param service what is served
     * @param clock source of time
     * @return the server, listening
     * @throws IOException when the address cannot be bound
     */
    public static CallerServer start(Address address, Settings.Limits limits, CallerService service, Clock clock)
            throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_START_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes());
        BodyBudget budget = new BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_PARTS_PER_BODIES);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(config))
                                .addLast(new IdleStateHandler(IDLE_MS, 0, 0, TimeUnit.MILLISECONDS))
                                .addLast(new CallerHandler(service, limits, budget, clock));
                    }
                });
        try {
            Channel listening =
                    bootstrap.bind(address.host(), address.port()).sync().channel();
            return new CallerServer(group, listening);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            group.shutdownGracefully();
            throw new IOException("interrupted while binding " + address, e);
        } catch (Exception e) {
            group.shutdownGracefully();
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /**
     * Returns where the server listens.
     *
     * @return the bound address
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) listening.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Closes all connections. */
    @Override
    public void close() {
        listening.close();
        group.shutdownGracefully(QUIET_MS, STOP_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
