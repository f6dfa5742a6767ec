package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.peer.EntryPointSelector;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.platform.DirectoryProtocol;

/** Serves the directory of instances, the readiness probe and the metrics. */
final class ManagementHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** Time to live of a directory response, seconds; short, because the set of instances changes often. */
    private static final int VALID_S = 2;

    private final GatewayCore core;

    ManagementHandler(GatewayCore core) {
        this.core = core;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (!(message instanceof HttpRequest request)) {
            return;
        }
        boolean keepAlive =
                HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
        FullHttpResponse response = respond(request);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        context.writeAndFlush(response).addListener(keepAlive ? done -> {} : ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        core.log().info("question-failed", "cause", cause);
        context.close();
    }

    private FullHttpResponse respond(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return textResponse(HttpResponseStatus.BAD_REQUEST, "", "text/plain");
        }
        QueryStringDecoder target = new QueryStringDecoder(request.uri());
        return switch (target.path()) {
            case DirectoryProtocol.READINESS_PATH ->
                textResponse(
                        core.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "",
                        "text/plain");
            case DirectoryProtocol.RESOLVE_PATH -> entryInstances(target.parameters());
            case "/metrics" ->
                textResponse(HttpResponseStatus.OK, core.metrics().text(), "text/plain");
            default -> textResponse(HttpResponseStatus.NOT_FOUND, "", "text/plain");
        };
    }

    private FullHttpResponse entryInstances(Map<String, List<String>> query) {
        try {
            Region region = new Region(first(query, DirectoryProtocol.REGION_PARAMETER)
                    .orElse(core.settings().region().name()));
            Zone zone = new Zone(first(query, DirectoryProtocol.ZONE_PARAMETER)
                    .orElse(core.settings().zone().name()));
            String host = first(query, DirectoryProtocol.HOST_PARAMETER).orElse("");
            Set<Region> homes = core.catalog()
                    .configuration()
                    .map(configuration -> EntryPointSelector.homes(configuration.rulesOf(host), core::requestCount))
                    .orElse(Set.of());
            List<PeerState> instances = new ArrayList<>(core.peers().alive(core.nowMs()));
            instances.add(core.peerGossip().localState());
            List<Address> chosen =
                    EntryPointSelector.choose(instances, region, zone, homes, DirectoryProtocol.MAX_ADDRESSES);
            if (chosen.isEmpty()) {
                return textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no instance is ready", "text/plain");
            }
            int validS = Math.min(VALID_S, core.settings().platformLimits().directoryTtlS());
            return textResponse(
                    HttpResponseStatus.OK, DirectoryProtocol.encodeResponse(chosen, validS), "application/json");
        } catch (InvalidIdentifierException e) {
            return textResponse(HttpResponseStatus.BAD_REQUEST, e.getMessage(), "text/plain");
        }
    }

    private static Optional<String> first(Map<String, List<String>> query, String name) {
        return query.getOrDefault(name, List.of()).stream()
                .filter(value -> !value.isEmpty())
                .findFirst();
    }

    private static FullHttpResponse textResponse(HttpResponseStatus status, String text, String type) {
        ByteBuf body = ByteBufUtil.writeUtf8(io.netty.buffer.UnpooledByteBufAllocator.DEFAULT, text);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        return response;
    }
}
