package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.ibissaddle.platform.PlatformHeaders;

/**
 * A request whose body has been received in full.
 *
 * @param method its method
 * @param target path and query, as received
 * @param headers its headers
 * @param body its body
 * @param bodyDeclared whether it declared a body, possibly an empty one
 * @param forwarded whether another instance forwarded it
 * @param arrivedMs time at which its head arrived, milliseconds
 */
record IncomingRequest(
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        boolean bodyDeclared,
        boolean forwarded,
        long arrivedMs) {
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    String header(String name) {
        return headers.get(name);
    }

    /** Returns the id of the last event that the caller has received, empty for none. */
    String lastEventId() {
        String value = header(PlatformHeaders.LAST_EVENT_ID);
        return value == null ? "" : value;
    }
}
