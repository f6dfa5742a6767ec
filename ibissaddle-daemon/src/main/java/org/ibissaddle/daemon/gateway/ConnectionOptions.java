package org.ibissaddle.daemon.gateway;

import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.route.Route;

/** Options of the connections on which requests are sent. */
final class ConnectionOptions {
    /**
     * Maximum idle time of a connection to a server that is reused for a request that runs at most once, milliseconds.
     */
    private static final long NON_REPEATABLE_MAX_IDLE_MS = 400;
    /** Maximum idle time of a connection to a server that is reused for a repeatable request, milliseconds. */
    private static final long REPEATABLE_MAX_IDLE_MS = 3_000;
    /**
     * Maximum idle time of a connection to another instance, milliseconds. Instances do not drop idle connections
     * without notice, and a new connection to another region costs a round trip.
     */
    private static final long INSTANCE_MAX_IDLE_MS = 3_000;
    /** Timeout for opening a connection within a region, milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 300;
    /** Timeout for opening a connection to another region, milliseconds. */
    private static final int INSTANCE_CONNECT_TIMEOUT_MS = 500;

    /** Options for a request to another instance. */
    static final HttpClient.SendOptions TO_INSTANCE =
            new HttpClient.SendOptions(INSTANCE_MAX_IDLE_MS, INSTANCE_CONNECT_TIMEOUT_MS);

    private ConnectionOptions() {}

    /** Returns the options for a request of a route to a backend server. */
    static HttpClient.SendOptions toServer(Route route) {
        return new HttpClient.SendOptions(
                route.isRetryable() ? REPEATABLE_MAX_IDLE_MS : NON_REPEATABLE_MAX_IDLE_MS, CONNECT_TIMEOUT_MS);
    }
}
