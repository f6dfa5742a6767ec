package org.ibissaddle.route;

/** Kind of the requests of a route, which determines whether they may be retried. */
public enum RequestKind {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Is executed at most once. */
    NON_IDEMPOTENT,
    /** The response is a stream of events. May be retried only if the route allows streams to be resumed. */
    STREAMING
}
