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

/** HTTP server for client requests. */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_REQUEST_LINE_BYTES = 4096;
    private static final int WRITE_BUFFER_LOW_WATER_MARK = 16 * 1024;
    private static final int WRITE_BUFFER_HIGH_WATER_MARK = 64 * 1024;
    private static final int BACKLOG = 1024;
    private static final long SHUTDOWN_QUIET_PERIOD_MS = 0;
    private static final long SHUTDOWN_TIMEOUT_MS = 2000;
    private static final long IDLE_TIMEOUT_MS = 120_000;
    private static final long BODY_BUDGET_HEAP_DIVISOR = 4;

    private final EventLoopGroup group;
    private final Channel serverChannel;
    private final CallerConnections connections;

    private CallerServer(EventLoopGroup group, Channel serverChannel, CallerConnections connections) {
        this.group = group;
        this.serverChannel = serverChannel;
        this.connections = connections;
    }

    /**
     * Starts a server.
     *
     * @param address listen address; with port 0 the operating system chooses a free port
     * @param limits limits for requests
     * @param requestHandler handles the requests
     * @param clock current time
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static CallerServer start(
            Address address, Settings.Limits limits, RequestHandler requestHandler, Clock clock) throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes());
        CallerConnections connections = new CallerConnections();
        BodyBudget budget = new BodyBudget(Runtime.getRuntime().maxMemory() / BODY_BUDGET_HEAP_DIVISOR);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(WRITE_BUFFER_LOW_WATER_MARK, WRITE_BUFFER_HIGH_WATER_MARK))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(config))
                                .addLast(new IdleStateHandler(IDLE_TIMEOUT_MS, 0, 0, TimeUnit.MILLISECONDS))
                                .addLast(new CallerHandler(requestHandler, limits, budget, connections, clock));
                    }
                });
        try {
            Channel serverChannel =
                    bootstrap.bind(address.host(), address.port()).sync().channel();
            return new CallerServer(group, serverChannel, connections);
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
     * Returns the listen address.
     *
     * @return the address with the actual port
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) serverChannel.localAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Stops listening and closes the connections that wait for a request. The others are closed after the response to
     * the request that is being received or processed.
     */
    public void stopAccepting() {
        connections.stop();
        serverChannel.close().syncUninterruptibly();
    }

    /**
     * Returns whether requests are being received, processed or answered, or connections wait for a request.
     *
     * @return true if a connection is open
     */
    public boolean hasConnections() {
        return connections.areOpen();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        serverChannel.close();
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }
}
