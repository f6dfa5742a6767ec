package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import org.ibissaddle.platform.PlatformHeaders;

/** Error responses that the gateway itself creates. */
final class ErrorResponses {
    private static final double MS_PER_TENTH = 100;
    private static final double TENTHS_PER_SECOND = 10;

    private ErrorResponses() {}

    /** Returns a value of Retry-After: the time until then in seconds, rounded up to a tenth. */
    static String secondsUntil(long atMs, long nowMs) {
        return String.valueOf(Math.ceil(Math.max(0, atMs - nowMs) / MS_PER_TENTH) / TENTHS_PER_SECOND);
    }

    /** Sets Retry-After if the time is known; otherwise the value stays as it is. */
    static void setRetryAfter(HttpHeaders headers, OptionalLong atMs, long nowMs) {
        if (atMs.isPresent()) {
            headers.set(PlatformHeaders.RETRY_AFTER, secondsUntil(atMs.getAsLong(), nowMs));
        }
    }

    /** Sends a complete response with the reason as JSON. */
    static void send(ResponseWriter to, HttpResponseStatus status, String reason, HttpHeaders headers) {
        String text = "{\"error\":\"" + reason.replace("\\", "\\\\").replace("\"", "'") + "\"}";
        ByteBuf body = ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, text);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        to.sendHead(status, headers, body.readableBytes());
        to.sendContent(body);
        to.sendEnd();
    }
}
