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
import org.ibissaddle.standins.internal.Json;
import org.ibissaddle.standins.internal.http.Exchange;
import org.ibissaddle.standins.internal.http.Ran;
import org.ibissaddle.standins.internal.http.RefusedException;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.proxy.FaultLink;

/**
 * A TCP proxy with named links, each a listening port whose connections go to one target. Its HTTP control takes
 * {@code PUT /links/{name}} with {@code {"listen":port,"target":"ip:port"}}, {@code POST /control} with
 * {@code {"link":"name","fault":{...}}} whose fault names fields of {@link LinkFaults}, and {@code GET /stats}.
 */
public final class FaultProxy extends HttpStandin {
    private final Map<String, FaultLink> links = new TreeMap<>();

    /** Prepares a proxy without links; {@link #start()} makes its control port listen. */
    public FaultProxy(FaultProxyOptions options, EventLoopGroup group) {
        super(options.name(), options.controlPort(), group);
    }

    /** Opens a link on a free port and returns the address that it listens on. */
    public InetSocketAddress open(String link, InetSocketAddress target) throws StandinStartException {
        return open(link, 0, target);
    }

    /** Opens a link on a port and returns the address that it listens on; replaces a link of the same name. */
    public InetSocketAddress open(String link, int port, InetSocketAddress target) throws StandinStartException {
        ChannelFuture bound = onLoop(() -> listen(link, port, target)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new StandinStartException(link, port, bound.cause());
        }
        return localAddress(bound.channel());
    }

    /** Gives the connections of a link that come from one source address a link of their own, with faults apart. */
    public void split(String link, InetAddress source, String ownLink) {
        onLoop(() -> {
            links.put(ownLink, existing(link).split(source));
            return true;
        });
    }

    /** Delays the bytes of a link each way. */
    public void delay(String link, long ms) {
        change(link, faults -> faults.withDelayMs(ms));
    }

    /** Limits the bandwidth of a link each way; 0 for no limit. */
    public void bandwidth(String link, long bytesPerSecond) {
        change(link, faults -> faults.withBytesPerSecond(bytesPerSecond));
    }

    /** Carries nothing in a direction, while connections stay open; waiting bytes arrive after the cut. */
    public void cut(String link, LinkFaults.Cut direction) {
        change(link, faults -> faults.withCut(direction));
    }

    /** Resets the connections of a link and closes new ones. */
    public void refuse(String link) {
        change(link, faults -> faults.withRefuse(true));
    }

    /** Resets each connection after a number of bytes to the client. */
    public void resetAfterBytes(String link, long bytes) {
        change(link, faults -> faults.withResetAfterBytes(bytes));
    }

    /** Sends the requests of each new connection over a second connection as well. */
    public void duplicateConnection(String link) {
        change(link, faults -> faults.withDuplicateConnection(true));
    }

    /** Takes all faults off a link. */
    public void heal(String link) {
        change(link, faults -> LinkFaults.none());
    }

    /** Takes all faults off all links. */
    public void healAll() {
        onLoop(() -> {
            links.values().forEach(link -> link.setFaults(LinkFaults.none()));
            return true;
        });
    }

    /** What a link has carried so far. */
    public LinkStats stats(String link) {
        return onLoop(() -> existing(link).stats());
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
    protected void handle(Exchange exchange) throws RefusedException {
        switch (exchange.segments().getFirst()) {
            case "links" -> openCall(exchange, exchange.segments().getLast());
            case "control" -> control(exchange);
            case "stats" -> exchange.reply(Reply.json(200, allStats()));
            default -> throw RefusedException.notFound("call \"" + exchange.path() + "\" does not exist");
        }
    }

    private void openCall(Exchange exchange, String link) throws RefusedException {
        OpenLink request = Json.parse(exchange.body(), OpenLink.class);
        ChannelFuture bound = listen(link, request.listen(), request.targetAddress());
        bound.addListener(done -> exchange.reply(
                done.isSuccess()
                        ? Reply.json(
                                200,
                                new Opened(link, localAddress(bound.channel()).getPort()))
                        : portTaken(link, request.listen()).toReply()));
    }

    private void control(Exchange exchange) throws RefusedException {
        var body = Json.object(exchange.body());
        String name = body.path("link").asText();
        FaultLink link = links.get(name);
        if (link == null) {
            throw RefusedException.notFound("link \"" + name + "\" does not exist");
        }
        link.setFaults(Json.merge(link.faults(), Json.bytes(body.path("fault")), LinkFaults.class));
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

    private void change(String link, UnaryOperator<LinkFaults> change) {
        onLoop(() -> {
            FaultLink existing = existing(link);
            existing.setFaults(change.apply(existing.faults()));
            return true;
        });
    }

    private FaultLink existing(String name) {
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

    private static RefusedException portTaken(String link, int port) {
        return new RefusedException(
                409, "port-taken", Ran.NOT_RUN, "link \"" + link + "\" cannot listen on port " + port);
    }

    private record OpenLink(int listen, String target) {
        InetSocketAddress targetAddress() throws RefusedException {
            int colon = target.lastIndexOf(':');
            InetAddress ip = NetUtil.createInetAddressFromIpAddressString(target.substring(0, Math.max(0, colon)));
            if (ip == null) {
                throw badTarget();
            }
            try {
                return new InetSocketAddress(ip, Integer.parseInt(target.substring(colon + 1)));
            } catch (IllegalArgumentException e) {
                throw badTarget();
            }
        }

        private RefusedException badTarget() {
            return RefusedException.badRequest("target \"" + target + "\" is not an ip:port");
        }
    }

    private record Opened(String link, int port) {}
}
