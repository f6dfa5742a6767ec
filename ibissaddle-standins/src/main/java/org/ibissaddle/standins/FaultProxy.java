package org.ibissaddle.standins;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.ibissaddle.standins.internal.JsonCodec;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.http.RequestRejectedException;
import org.ibissaddle.standins.internal.proxy.FaultLink;

/**
 * Fault-injecting TCP proxy with named links. Each link is a listening port that forwards its connections to one
 * target. The HTTP control interface accepts {@code PUT /links/{name}} with {@code {"listen":port,"target":"ip:port"}},
 * {@code POST /control} with {@code {"link":"name","fault":{...}}}, where the fault object contains fields of
 * {@link LinkFaults}, and {@code GET /stats}.
 */
public final class FaultProxy extends HttpStandin {
    private final Map<String, FaultLink> links = new TreeMap<>();

    /** Creates a proxy without links; {@link #start()} opens its control port. */
    public FaultProxy(FaultProxyOptions options, EventLoopGroup group) {
        super(options.name(), options.controlPort(), group);
    }

    /** Opens a link on a free port and returns its listening address. */
    public InetSocketAddress open(String link, InetSocketAddress target) throws StandinStartException {
        return open(link, 0, target);
    }

    /** Opens a link on a port and returns its listening address; replaces an existing link with the same name. */
    public InetSocketAddress open(String link, int port, InetSocketAddress target) throws StandinStartException {
        ChannelFuture bound = onLoop(() -> listen(link, port, target)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new StandinStartException(link, port, bound.cause());
        }
        return localAddress(bound.channel());
    }

    /** Assigns the connections of a link from one source address to a separate link with its own faults. */
    public void separateSource(String link, InetAddress source, String ownLink) {
        onLoop(() -> {
            links.put(ownLink, requireLink(link).separateSource(source));
            return true;
        });
    }

    /** Delays the bytes of a link in each direction. */
    public void delay(String link, long ms) {
        updateFaults(link, faults -> faults.withDelayMs(ms));
    }

    /** Limits the bandwidth of a link in each direction; 0 disables the limit. */
    public void bandwidth(String link, long bytesPerSecond) {
        updateFaults(link, faults -> faults.withBytesPerSecond(bytesPerSecond));
    }

    /** Blocks a direction of a link; connections stay open and buffered bytes are delivered once the cut is removed. */
    public void cut(String link, LinkFaults.Cut direction) {
        updateFaults(link, faults -> faults.withCut(direction));
    }

    /** Resets the open connections of a link and every new one. */
    public void refuse(String link) {
        updateFaults(link, faults -> faults.withRefuse(true));
    }

    /** Resets each connection after a number of bytes sent to the client. */
    public void resetAfterBytes(String link, long bytes) {
        updateFaults(link, faults -> faults.withResetAfterBytes(bytes));
    }

    /** Duplicates the requests of each new connection on a second server connection. */
    public void duplicateConnection(String link) {
        updateFaults(link, faults -> faults.withDuplicateConnection(true));
    }

    /** Removes all faults of a link. */
    public void heal(String link) {
        updateFaults(link, faults -> LinkFaults.none());
    }

    /** Removes all faults of all links. */
    public void healAll() {
        onLoop(() -> {
            links.values().forEach(link -> link.setFaults(LinkFaults.none()));
            return true;
        });
    }

    /** Returns the connection and byte counts of a link. */
    public LinkStats stats(String link) {
        return onLoop(() -> requireLink(link).stats());
    }

    @Override
    public void close() {
        onLoop(() -> {
            links.values().forEach(FaultLink::close);
            links.clear();
            return true;
        });
        super.close();
    }

    @Override
    protected void handle(HttpExchange exchange) throws RequestRejectedException {
        switch (exchange.segments().getFirst()) {
            case "links" -> handleOpenLink(exchange, exchange.segments().getLast());
            case "control" -> handleControl(exchange);
            case "stats" -> exchange.reply(Reply.json(200, allStats()));
            default -> throw RequestRejectedException.notFound("endpoint \"" + exchange.path() + "\" does not exist");
        }
    }

    private void handleOpenLink(HttpExchange exchange, String link) throws RequestRejectedException {
        OpenLink request = JsonCodec.parse(exchange.body(), OpenLink.class);
        ChannelFuture bound = listen(link, request.listen(), request.targetAddress());
        bound.addListener(done -> exchange.reply(
                done.isSuccess()
                        ? Reply.json(
                                200,
                                new OpenedLink(
                                        link, localAddress(bound.channel()).getPort()))
                        : portTaken(link, request.listen()).toReply()));
    }

    private void handleControl(HttpExchange exchange) throws RequestRejectedException {
        var body = JsonCodec.object(exchange.body());
        String name = body.path("link").asText();
        FaultLink link = links.get(name);
        if (link == null) {
            throw RequestRejectedException.notFound("link \"" + name + "\" does not exist");
        }
        link.setFaults(JsonCodec.merge(link.faults(), JsonCodec.bytes(body.path("fault")), LinkFaults.class));
        exchange.reply(Reply.json(200, link.faults()));
    }

    private ChannelFuture listen(String name, int port, InetSocketAddress target) {
        FaultLink previous = links.remove(name);
        if (previous != null) {
            previous.close();
        }
        FaultLink link = new FaultLink(loop(), target);
        links.put(name, link);
        return link.listen(port);
    }

    private void updateFaults(String link, UnaryOperator<LinkFaults> update) {
        onLoop(() -> {
            FaultLink target = requireLink(link);
            target.setFaults(update.apply(target.faults()));
            return true;
        });
    }

    private FaultLink requireLink(String name) {
        FaultLink link = links.get(name);
        if (link == null) {
            throw new IllegalArgumentException("link \"" + name + "\" does not exist");
        }
        return link;
    }

    private Map<String, LinkStats> allStats() {
        Map<String, LinkStats> stats = new TreeMap<>();
        links.forEach((name, link) -> stats.put(name, link.stats()));
        return stats;
    }

    private static InetSocketAddress localAddress(Channel channel) {
        return (InetSocketAddress) channel.localAddress();
    }

    private static RequestRejectedException portTaken(String link, int port) {
        return new RequestRejectedException(
                409, "port-taken", ExecutionOutcome.NOT_RUN, "link \"" + link + "\" cannot listen on port " + port);
    }

    private record OpenLink(int listen, String target) {
        InetSocketAddress targetAddress() throws RequestRejectedException {
            int colon = target.lastIndexOf(':');
            InetAddress ip = NetUtil.createInetAddressFromIpAddressString(target.substring(0, Math.max(0, colon)));
            if (ip == null) {
                throw invalidTarget();
            }
            try {
                return new InetSocketAddress(ip, Integer.parseInt(target.substring(colon + 1)));
            } catch (IllegalArgumentException e) {
                throw invalidTarget();
            }
        }

        private RequestRejectedException invalidTarget() {
            return RequestRejectedException.badRequest("target \"" + target + "\" is not of the form ip:port");
        }
    }

    private record OpenedLink(String link, int port) {}
}
