package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;
import org.ibissaddle.outcome.ExecutionStatus;

/**
 * Rejects a refusal that may be that of an earlier request: on a connection that has carried other requests, a backend
 * server must name the request that it did not execute. Other instances send no refusal twice.
 */
final class RefusalOriginCheck implements Interceptor {
    private static final String RAN_HEADER = "X-Ran";
    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final String FORWARDED_HEADER = "X-Hop";

    private final Set<Connection> usedConnections =
            Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));

    @Override
    public Response intercept(Chain chain) throws IOException {
        boolean reused = !usedConnections.add(chain.connection());
        Response response = chain.proceed(chain.request());
        if (reused && isRefusal(response) && !namesRequest(response, chain.request())) {
            throw new IOException("a refusal on a reused connection does not name the request");
        }
        return response;
    }

    private static boolean isRefusal(Response response) {
        return ExecutionStatus.NOT_RUN.wireName().equals(response.header(RAN_HEADER));
    }

    private static boolean namesRequest(Response response, Request request) {
        String id = request.header(REQUEST_ID_HEADER);
        return id == null || request.header(FORWARDED_HEADER) != null || id.equals(response.header(REQUEST_ID_HEADER));
    }
}
