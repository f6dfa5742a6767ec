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
import org.ibissaddle.standins.internal.http.Exchange;

/** A listening port whose connections are carried to one target, with faults. Used on one event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // the result of a close does not matter
public final class FaultLink {
    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
    private final LinkCounters counters = new LinkCounters();
    private final Wire wireToServer = new Wire(this, LinkFaults.Cut::cutsToServer);
    private final Wire wireToClient = new Wire(this, LinkFaults.Cut::cutsToClient);
    private final Map<InetAddress, FaultLink> bySource = new HashMap<>();
    private LinkFaults faults = LinkFaults.none();
    private Optional<Channel> listener = Optional.empty();

    /** Prepares a link to a target. */
    public FaultLink(EventLoop loop, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
    }

    /** Starts listening; the future ends when the port is taken. */
    public ChannelFuture listen(int port) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ClientSetup())
                .bind(InetAddress.getLoopbackAddress(), port);
        listener = Optional.of(bound.channel());
        return bound;
    }

    /** Lets connections from a source address follow the faults of a link of their own, and returns that link. */
    public FaultLink split(InetAddress source) {
        return bySource.computeIfAbsent(source, address -> new FaultLink(loop, target));
    }

    /** The faults in force. */
    public LinkFaults faults() {
        return faults;
    }

    /** Replaces the faults. */
    public void setFaults(LinkFaults next) {
        faults = next;
        List<ProxiedConnection> open = List.copyOf(connections);
        if (next.refuse()) {
            counters.resets += open.size();
            open.forEach(ProxiedConnection::reset);
            return;
        }
        open.forEach(ProxiedConnection::faultsChanged);
    }

    /** What the link has carried so far. */
    public LinkStats stats() {
        return counters.snapshot();
    }

    /** Stops listening and resets all connections. */
    public void close() {
        listener.ifPresent(Channel::close);
        bySource.values().forEach(FaultLink::close);
        List.copyOf(connections).forEach(ProxiedConnection::reset);
    }

    LinkCounters counters() {
        return counters;
    }

    Wire wireToServer() {
        return wireToServer;
    }

    Wire wireToClient() {
        return wireToClient;
    }

    void closed(ProxiedConnection connection) {
        if (connections.remove(connection)) {
            counters.open--;
        }
    }

    private void accept(Channel client) {
        if (faults.refuse()) {
            counters.refused++;
            Exchange.resetChannel(client);
            return;
        }
        counters.connections++;
        counters.open++;
        ProxiedConnection connection = new ProxiedConnection(this, client);
        connections.add(connection);
        client.pipeline().addLast(connection.clientSide());
        if (faults.duplicateConnection()) {
            connectTwice(connection, client);
            return;
        }
        connect(connection, client);
    }

    private void connect(ProxiedConnection connection, Channel client) {
        ChannelFuture connecting = connectTo(connection.serverSide());
        connecting.addListener(done -> {
            if (!done.isSuccess() || !client.isActive()) {
                connecting.channel().close();
                Exchange.resetChannel(client);
                return;
            }
            connection.join(connecting.channel());
        });
    }

    private void connectTwice(ProxiedConnection connection, Channel client) {
        ChannelFuture second = connectTo(new Discard());
        second.addListener(done -> {
            if (done.isSuccess()) {
                connection.duplicateTo(second.channel());
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

    private final class ClientSetup extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel client) {
            InetAddress source = ((InetSocketAddress) client.remoteAddress()).getAddress();
            bySource.getOrDefault(source, FaultLink.this).accept(client);
        }
    }

    private static final class Discard extends ChannelInboundHandlerAdapter {
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
