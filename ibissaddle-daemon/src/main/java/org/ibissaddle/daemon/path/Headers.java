package org.ibissaddle.daemon.path;

/** Names of header fields of the gateway's interfaces. */
public final class Headers {
    /** Workspace of a request. */
    public static final String WORKSPACE = "X-Workspace";
    /** Name of a request. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** Number of the attempt at a backend server, from 0. */
    public static final String ATTEMPT = "X-Attempt";
    /** Priority, 0 lowest to 9 highest. */
    public static final String PRIORITY = "X-Priority";
    /** When the caller gives up, epoch milliseconds. */
    public static final String DEADLINE = "X-Deadline-Ms";
    /** Ticket of a call that may run once only. */
    public static final String TICKET = "X-Ticket";
    /** Whether a refused request ran. */
    public static final String RAN = "X-Ran";
    /** Instances and regions that a forwarded request has passed. */
    public static final String HOP = "X-Hop";
    /** Authentication between instances. */
    public static final String PEER_AUTH = "X-Peer-Auth";
    /** Instance that served the answer. */
    public static final String INSTANCE = "X-Instance";
    /** Backend server that gave the answer. */
    public static final String SERVER = "X-Server";

    private Headers() {}
}
