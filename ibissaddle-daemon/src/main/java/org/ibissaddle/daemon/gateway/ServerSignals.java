package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.OptionalLong;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.LeavingServer;
import org.ibissaddle.platform.HeaderDecoder;
import org.ibissaddle.platform.PlatformHeaders;

/**
 * Records what a backend server says about itself in the head of any response: its load, that it is leaving, and that
 * it wants no requests for a while. Confined to the event loop.
 */
final class ServerSignals {
    private final GatewayCore core;

    ServerSignals(GatewayCore core) {
        this.core = core;
    }

    /** Records the signals of a response, unless another server has sent it. */
    void record(BackendServer server, HttpResponse response) {
        if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            return;
        }
        HeaderDecoder.decodeLoad(response.headers().get(PlatformHeaders.SERVER_LOAD))
                .ifPresent(load -> server.updateLoad(load, core.nowMs()));
        if (HeaderDecoder.decodeLeaving(response.headers().get(PlatformHeaders.SERVER_LEAVING))) {
            recordLeaving(LeavingServer.of(server.entry()), "response");
        }
        if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            recordPause(server, response);
        }
    }

    /** Records that a server is leaving; the source of this is logged. */
    void recordLeaving(LeavingServer server, String source) {
        if (core.backends().markLeaving(server)) {
            core.log().notice("server-leaving", "server", server.id(), "source", source);
        }
    }

    private void recordPause(BackendServer server, HttpResponse response) {
        String value = response.headers().get(PlatformHeaders.RETRY_AFTER);
        if (value == null) {
            return;
        }
        OptionalLong periodMs = HeaderDecoder.decodeRetryAfter(value, sentAt(response));
        periodMs.ifPresent(period -> server.holdOff(period, core.nowMs()));
        core.log()
                .notice(
                        "server-pause",
                        "server",
                        server.entry().id(),
                        "retryAfter",
                        value,
                        "leftMs",
                        Math.max(0, server.heldOffUntilMs() - core.nowMs()));
    }

    /** Returns when an instance that refused a request can accept it, empty if its Retry-After is malformed or over. */
    static OptionalLong retryAtMs(HttpResponse response, long nowMs) {
        String value = response.headers().get(PlatformHeaders.RETRY_AFTER, "");
        OptionalLong periodMs = HeaderDecoder.decodeRetryAfter(value, Instant.now());
        return periodMs.isPresent() ? OptionalLong.of(nowMs + periodMs.getAsLong()) : OptionalLong.empty();
    }

    /** Returns the time of the response by the clock of its server, to which a date in it is relative. */
    private static Instant sentAt(HttpResponse response) {
        String date = response.headers().get(HttpHeaderNames.DATE, "");
        try {
            return DateTimeFormatter.RFC_1123_DATE_TIME.parse(date, Instant::from);
        } catch (DateTimeException e) {
            return Instant.now();
        }
    }
}
