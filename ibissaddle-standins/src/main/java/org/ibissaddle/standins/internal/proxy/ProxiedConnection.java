package org.ibissaddle.standins.internal.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.ibissaddle.standins.internal.http.HttpExchange;

/** Client connection through a link, with its server connection and an optional duplicate server connection. */
@SuppressWarnings("FutureReturnValueIgnored") // close and reset are best effort; their result is not needed
final class ProxiedConnection {
    private final FaultLink link;
    private final Channel client;
    private Optional<Pipe> pipeToServer = Optional.empty();
    private Optional<Pipe> pipeToClient = Optional.empty();
    private Optional<Channel> server = Optional.empty();
    private Optional<Channel> duplicate = Optional.empty();

    ProxiedConnection(FaultLink link, Channel client) {
        this.link = link;
        this.client = client;
    }

    /** Starts forwarding between the client and the connected server. */
    void connectServer(Channel connected) {
        server = Optional.of(connected);
        Pipe requests = new Pipe(client, connected, link.directionToServer(), new ServerDeliveryLimiter());
        duplicate.ifPresent(requests::setDuplicateSink);
        pipeToServer = Optional.of(requests);
        pipeToClient = Optional.of(new Pipe(connected, client, link.directionToClient(), new ClientDeliveryLimiter()));
        requests.resume();
    }

    /** Sets a second server connection that receives the same bytes and whose responses are discarded. */
    void setDuplicate(Channel connected) {
        duplicate = Optional.of(connected);
        link.counters().duplicates++;
    }

    /** Returns the handler of the client channel. */
    ChannelInboundHandlerAdapter clientHandler() {
        return new ClientHandler();
    }

    /** Returns the handler of the server channel. */
    ChannelInboundHandlerAdapter serverHandler() {
        return new ServerHandler();
    }

    /** Reevaluates both directions after a change of faults. */
    void onFaultsChanged() {
        pipeToServer.ifPresent(Pipe::resume);
        pipeToClient.ifPresent(Pipe::resume);
    }

    /** Resets the client connection and all server connections. */
    void reset() {
        HttpExchange.resetChannel(client);
        server.ifPresent(HttpExchange::resetChannel);
        duplicate.ifPresent(HttpExchange::resetChannel);
    }

    private final class ServerDeliveryLimiter implements Pipe.DeliveryLimiter {
        @Override
        public int allow(int bytes) {
            return bytes;
        }

        @Override
        public void delivered(int bytes) {
            link.counters().bytesToServer += bytes;
        }
    }

    private final class ClientDeliveryLimiter implements Pipe.DeliveryLimiter {
        private long grantedBytes;
        private boolean reset;

        @Override
        public int allow(int bytes) {
            long limit = link.faults().resetAfterBytes();
            int grant = limit > 0 ? Math.clamp(limit - grantedBytes, 0, bytes) : bytes;
            grantedBytes += grant;
            return grant;
        }

        @Override
        public void delivered(int bytes) {
            link.counters().bytesToClient += bytes;
            long limit = link.faults().resetAfterBytes();
            if (limit > 0 && grantedBytes >= limit && !reset) {
                reset = true;
                link.counters().resets++;
                ProxiedConnection.this.reset();
            }
        }
    }

    private final class ClientHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof ByteBuf bytes) || pipeToServer.isEmpty()) {
                ReferenceCountUtil.release(message);
                return;
            }
            pipeToServer.get().accept(bytes);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            pipeToClient.ifPresent(Pipe::resume);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link.onConnectionClosed(ProxiedConnection.this);
            pipeToClient.ifPresent(Pipe::release);
            pipeToServer.ifPresent(Pipe::sourceClosed);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class ServerHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof ByteBuf bytes) || pipeToClient.isEmpty()) {
                ReferenceCountUtil.release(message);
                return;
            }
            pipeToClient.get().accept(bytes);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            pipeToServer.ifPresent(Pipe::resume);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pipeToServer.ifPresent(Pipe::release);
            pipeToClient.ifPresent(Pipe::sourceClosed);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
