package org.ibissaddle.standins.internal.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.ibissaddle.standins.internal.http.Exchange;

/** One client connection through a link, with its connection to the server and perhaps a duplicate of that. */
@SuppressWarnings("FutureReturnValueIgnored") // the result of a close does not matter
final class ProxiedConnection {
    private final FaultLink link;
    private final Channel client;
    private Optional<Pipe> toServer = Optional.empty();
    private Optional<Pipe> toClient = Optional.empty();
    private Optional<Channel> server = Optional.empty();
    private Optional<Channel> duplicate = Optional.empty();

    ProxiedConnection(FaultLink link, Channel client) {
        this.link = link;
        this.client = client;
    }

    /** Joins the client with the server once that is connected. */
    void join(Channel connected) {
        server = Optional.of(connected);
        Pipe requests = new Pipe(client, connected, link.wireToServer(), new ServerMeter());
        duplicate.ifPresent(requests::copyTo);
        toServer = Optional.of(requests);
        toClient = Optional.of(new Pipe(connected, client, link.wireToClient(), new ClientMeter()));
        requests.resume();
    }

    /** Adds a second connection to the server that gets the same bytes and whose answers are thrown away. */
    void duplicateTo(Channel connected) {
        duplicate = Optional.of(connected);
        link.counters().duplicates++;
    }

    /** Handles the events of the client's side. */
    ChannelInboundHandlerAdapter clientSide() {
        return new ClientSide();
    }

    /** Handles the events of the server's side. */
    ChannelInboundHandlerAdapter serverSide() {
        return new ServerSide();
    }

    /** Applies a change of faults. */
    void faultsChanged() {
        toServer.ifPresent(Pipe::resume);
        toClient.ifPresent(Pipe::resume);
    }

    /** Resets both sides. */
    void reset() {
        Exchange.resetChannel(client);
        server.ifPresent(Exchange::resetChannel);
        duplicate.ifPresent(Exchange::resetChannel);
    }

    private final class ServerMeter implements Pipe.Meter {
        @Override
        public int allow(int bytes) {
            return bytes;
        }

        @Override
        public void delivered(int bytes) {
            link.counters().bytesToServer += bytes;
        }
    }

    private final class ClientMeter implements Pipe.Meter {
        private long allowed;
        private boolean reset;

        @Override
        public int allow(int bytes) {
            long limit = link.faults().resetAfterBytes();
            int granted = limit > 0 ? Math.clamp(limit - allowed, 0, bytes) : bytes;
            allowed += granted;
            return granted;
        }

        @Override
        public void delivered(int bytes) {
            link.counters().bytesToClient += bytes;
            long limit = link.faults().resetAfterBytes();
            if (limit > 0 && allowed >= limit && !reset) {
                reset = true;
                link.counters().resets++;
                ProxiedConnection.this.reset();
            }
        }
    }

    private final class ClientSide extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof ByteBuf bytes) || toServer.isEmpty()) {
                ReferenceCountUtil.release(message);
                return;
            }
            toServer.get().accept(bytes);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            toClient.ifPresent(Pipe::resume);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link.closed(ProxiedConnection.this);
            toClient.ifPresent(Pipe::release);
            toServer.ifPresent(Pipe::sourceClosed);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class ServerSide extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof ByteBuf bytes) || toClient.isEmpty()) {
                ReferenceCountUtil.release(message);
                return;
            }
            toClient.get().accept(bytes);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            toServer.ifPresent(Pipe::resume);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            toServer.ifPresent(Pipe::release);
            toClient.ifPresent(Pipe::sourceClosed);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
