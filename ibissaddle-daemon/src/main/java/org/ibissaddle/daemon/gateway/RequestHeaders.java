package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.route.WorkspaceSpec;

/** Copies headers for the next hop without the hop-by-hop headers. */
final class RequestHeaders {
    private static final List<String> HOP_BY_HOP = List.of(
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Expect",
            InternalHeaders.FORWARDED_BY,
            InternalHeaders.OUTCOME,
            InternalHeaders.REACHED_SERVER,
            InternalHeaders.WORKSPACE);
    private static final Set<String> DROPPED_FROM_REQUESTS = names(HOP_BY_HOP, PlatformHeaders.RESERVED);
    private static final Set<String> DROPPED_FROM_RESPONSES = names(HOP_BY_HOP, List.of("Content-Length"));
    private static final Set<String> END_TO_END = names(PlatformHeaders.END_TO_END, List.of());

    /** Lowest priority that a server accepts. */
    private static final int LOWEST_PRIORITY = 9;

    private RequestHeaders() {}

    /** Returns the headers of a request to forward, with the length of the body. */
    static HttpHeaders forRequest(IncomingRequest request) {
        HttpHeaders headers = copy(request.headers(), DROPPED_FROM_REQUESTS);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (request.bodyDeclared() || request.body().isReadable()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        return headers;
    }

    /**
     * Returns the headers of a request to a server when the configuration has workspaces: the name of the workspace
     * instead of the API key.
     */
    static HttpHeaders forServer(IncomingRequest request, Optional<WorkspaceSpec> workspace) {
        HttpHeaders headers = withoutIdentity(request);
        workspace.ifPresent(
                known -> headers.set(PlatformHeaders.WORKSPACE, known.id().name()));
        return headers;
    }

    /**
     * Returns the headers of a request to another instance when the configuration has workspaces. The API key is kept,
     * because the other instance checks it against its own configuration.
     */
    static HttpHeaders forInstance(IncomingRequest request, Optional<WorkspaceSpec> workspace) {
        HttpHeaders headers = withoutIdentity(request);
        workspace.ifPresent(known -> {
            headers.set(PlatformHeaders.AUTHORIZATION, request.header(PlatformHeaders.AUTHORIZATION));
            headers.set(InternalHeaders.WORKSPACE, known.id().name());
        });
        return headers;
    }

    /**
     * Adds what the gateway sets on the request to a server or another instance.
     *
     * @param remainingMs time until the deadline of the request, milliseconds
     * @param lastEventId id of the last event that was relayed, empty for none
     */
    static HttpRequest head(
            IncomingRequest request,
            HttpHeaders headers,
            RequestDemand demand,
            int priority,
            long remainingMs,
            String lastEventId) {
        if (demand.promptTokens() > 0) {
            headers.set(PlatformHeaders.PRIORITY, Math.min(LOWEST_PRIORITY, priority));
        }
        headers.set(PlatformHeaders.DEADLINE_MS, Math.max(1, remainingMs));
        if (!lastEventId.isEmpty()) {
            headers.set(PlatformHeaders.LAST_EVENT_ID, lastEventId);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.target(), headers);
    }

    /** Some servers read an underscore in the name of a header as a hyphen, so that both spellings are removed. */
    private static HttpHeaders withoutIdentity(IncomingRequest request) {
        HttpHeaders headers = forRequest(request);
        headers.remove(PlatformHeaders.AUTHORIZATION);
        for (String name : headers.names()) {
            if (name.replace('_', '-').equalsIgnoreCase(PlatformHeaders.WORKSPACE)) {
                headers.remove(name);
            }
        }
        return headers;
    }

    /** Returns the headers of a server's response to relay, without its length. */
    static HttpHeaders forResponse(HttpHeaders response) {
        return copy(response, DROPPED_FROM_RESPONSES);
    }

    /** Addresses a request to a server, which copies its KV cache of the prompt from the source if there is one. */
    static void address(HttpHeaders headers, BackendServer server, Optional<BackendServer> cacheSource) {
        headers.set(PlatformHeaders.EXPECTED_SERVER, server.entry().id().name());
        cacheSource.ifPresent(source -> headers.set(
                PlatformHeaders.COPY_CACHE_FROM, source.entry().address().toString()));
    }

    private static HttpHeaders copy(HttpHeaders from, Set<String> dropped) {
        Set<String> connectionOptions = connectionOptions(from);
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean hopByHop =
                    dropped.contains(name) || (connectionOptions.contains(name) && !END_TO_END.contains(name));
            if (!hopByHop) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
        Set<String> connectionOptions = new TreeSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return connectionOptions;
    }

    private static Set<String> names(List<String> first, List<String> second) {
        Set<String> names = new TreeSet<>();
        first.forEach(name -> names.add(name.toLowerCase(Locale.ROOT)));
        second.forEach(name -> names.add(name.toLowerCase(Locale.ROOT)));
        return names;
    }
}
