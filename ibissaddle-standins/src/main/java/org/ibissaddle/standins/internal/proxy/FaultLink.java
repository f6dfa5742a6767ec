package org.ibissaddle.standins.internal.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.standins.LinkFaults;
import org.ibissaddle.standins.LinkStats;
import org.ibissaddle.standins.internal.http.HttpExchange;

/** Listening port that forwards its connections to one target and injects faults. Confined to one event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // close and reset are best effort; their result is not needed
public final class FaultLink {
    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
    private final LinkCounters counters = new LinkCounters();
    private final LinkDirection directionToServer = new LinkDirection(this, LinkFaults.Cut::cutsToServer);
    private final LinkDirection directionToClient = new LinkDirection(this, LinkFaults.Cut::cutsToClient);
    private final Map<InetAddress, FaultLink> linksBySource = new HashMap<>();
    private LinkFaults faults = LinkFaults.none();
    private Optional<Channel> listener = Optional.empty();

    /** Creates a link to a target; {@link #listen} opens its port. */
    public FaultLink(EventLoop loop, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
    }

    /** Starts listening; the future completes once the port is bound or the bind has failed. */
    public ChannelFuture listen(int port) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ClientInitializer())
                .bind(InetAddress.getLoopbackAddress(), port);
        listener = Optional.of(bound.channel());
        return bound;
    }

    /** Assigns connections from a source address to a separate link with its own faults, and returns that link. */
    public FaultLink separateSource(InetAddress source) {
        return linksBySource.computeIfAbsent(source, address -> new FaultLink(loop, target));
    }

    /** Returns the active faults. */
    public LinkFaults faults() {
        return faults;
    }

    /** Replaces the active faults; refusing connections also resets the open ones. */
    public void setFaults(LinkFaults next) {
        faults = next;
        List<ProxiedConnection> open = List.copyOf(connections);
        if (next.refuse()) {
            counters.resets += open.size();
            open.forEach(ProxiedConnection::reset);
            return;
        }
        open.forEach(ProxiedConnection::onFaultsChanged);
    }

    /** Returns the connection and byte counts of this link. */
    public LinkStats stats() {
        return counters.snapshot();
    }

    /** Stops listening and resets all connections. */
    public void close() {
        listener.ifPresent(Channel::close);
        linksBySource.values().forEach(FaultLink::close);
        List.copyOf(connections).forEach(ProxiedConnection::reset);
    }

    LinkCounters counters() {
        return counters;
    }

    LinkDirection directionToServer() {
        return directionToServer;
    }

    LinkDirection directionToClient() {
        return directionToClient;
    }

    void onConnectionClosed(ProxiedConnection connection) {
        if (connections.remove(connection)) {
            counters.open--;
        }
    }

    private void accept(Channel client) {
        if (faults.refuse()) {
            counters.refused++;
            HttpExchange.resetChannel(client);
            return;
        }
        counters.connections++;
        counters.open++;
        ProxiedConnection connection = new ProxiedConnection(this, client);
        connections.add(connection);
        client.pipeline().addLast(connection.clientHandler());
        if (faults.duplicateConnection()) {
            connectWithDuplicate(connection, client);
            return;
        }
        connect(connection, client);
    }

    private void connect(ProxiedConnection connection, Channel client) {
        ChannelFuture connecting = connectTo(connection.serverHandler());
        connecting.addListener(done -> {
            if (!done.isSuccess() || !client.isActive()) {
                connecting.channel().close();
                HttpExchange.resetChannel(client);
                return;
            }
            connection.connectServer(connecting.channel());
        });
    }

    private void connectWithDuplicate(ProxiedConnection connection, Channel client) {
        ChannelFuture second = connectTo(new DiscardHandler());
        second.addListener(done -> {
            if (done.isSuccess()) {
                connection.setDuplicate(second.channel());
            }
            connect(connection, client);
        });
    }

    private ChannelFuture connectTo(ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(handler)
                .connect(target);
    }

    private final class ClientInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel client) {
            InetAddress source = ((InetSocketAddress) client.remoteAddress()).getAddress();
            linksBySource.getOrDefault(source, FaultLink.this).accept(client);
        }
    }

    private static final class DiscardHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
