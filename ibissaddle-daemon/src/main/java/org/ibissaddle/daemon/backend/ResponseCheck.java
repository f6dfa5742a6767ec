package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Rejects what is no response to its request, or may be part of one:
 *
 * <ul>
 *   <li>a response that may be that to an earlier request: on a connection that has carried other requests, a backend
 *       server must name the request that it answers. The events of a stream name it themselves, and other instances
 *       send no response twice.
 *   <li>a response without a length on a connection that was reset while the request was written: its end looks like
 *       that of a complete one.
 *   <li>a response whose status code is outside the protocol.
 * </ul>
 */
final class ResponseCheck implements Interceptor {
    private static final String CONTENT_TYPE_HEADER = "Content-Type";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final String FORWARDED_HEADER = "X-Hop";
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private final Set<Connection> usedConnections =
            Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));

    @Override
    public Response intercept(Chain chain) throws IOException {
        boolean reused = !usedConnections.add(chain.connection());
        Response response = chain.proceed(chain.request());
        if (response.code() < MIN_STATUS || response.code() > MAX_STATUS) {
            throw rejected(response, "status code " + response.code() + " is outside 100 to 599");
        }
        if (reused && !isEventStream(response) && !namesRequest(response, chain.request())) {
            throw rejected(response, "a response on a reused connection does not name the request");
        }
        if (WriteFailure.hasOccurred(chain.request()) && !ResponseBodyReader.isFramed(response)) {
            throw rejected(response, "the connection was reset before the end of a response without a length");
        }
        return response;
    }

    private static IOException rejected(Response response, String reason) {
        response.close();
        return new IOException(reason);
    }

    private static boolean isEventStream(Response response) {
        return response.isSuccessful()
                && response.header(CONTENT_TYPE_HEADER, "").startsWith(EVENT_STREAM);
    }

    private static boolean namesRequest(Response response, Request request) {
        String id = request.header(REQUEST_ID_HEADER);
        return id == null || request.header(FORWARDED_HEADER) != null || id.equals(response.header(REQUEST_ID_HEADER));
    }
}
