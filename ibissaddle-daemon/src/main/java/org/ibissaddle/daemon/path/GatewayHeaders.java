package org.ibissaddle.daemon.path;

/** Names of the HTTP header fields that the gateway reads and writes. */
public final class GatewayHeaders {
    /** Workspace that sends the request. */
    public static final String WORKSPACE = "X-Workspace";
    /** Unique ID of the request. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** Zero-based number of the attempt to send the request to a backend server. */
    public static final String ATTEMPT = "X-Attempt";
    /** Priority from 0 (lowest) to 9 (highest). */
    public static final String PRIORITY = "X-Priority";
    /** Deadline of the request in epoch milliseconds. */
    public static final String DEADLINE = "X-Deadline-Ms";
    /** Ticket of a call that must be executed at most once. */
    public static final String TICKET = "X-Ticket";
    /** Whether the request was executed. */
    public static final String RAN = "X-Ran";
    /** Instances that have forwarded the request, with their regions. */
    public static final String HOP = "X-Hop";
    /** Credentials for requests between instances. */
    public static final String PEER_AUTH = "X-Peer-Auth";
    /** Instance that served the response. */
    public static final String INSTANCE = "X-Instance";
    /** Backend server that produced the response. */
    public static final String SERVER = "X-Server";

    private GatewayHeaders() {}
}
