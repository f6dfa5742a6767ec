package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Headers used between gateway instances; removed from the requests of callers and the responses of servers. */
final class InternalHeaders {
    /** Name of the instance that forwarded the request. */
    static final String FORWARDED_BY = "X-Ibissaddle-Forwarded-By";
    /** Set on an error response that an instance itself creates: {@link #NOT_RUN} or {@link #UNKNOWN}. */
    static final String OUTCOME = "X-Ibissaddle-Outcome";

    static final String NOT_RUN = "not-run";
    static final String UNKNOWN = "unknown";
    /** Set on an error response that an instance itself creates: whether the request may have reached a server. */
    static final String REACHED_SERVER = "X-Ibissaddle-Reached-Server";

    /** Name of the workspace that the instance that forwarded the request found for its API key. */
    static final String WORKSPACE = "X-Ibissaddle-Workspace";

    private static final String NO = "no";
    private static final String MAYBE = "maybe";

    private InternalHeaders() {}

    static void setReachedServer(HttpHeaders headers, boolean mayHaveReached) {
        headers.set(REACHED_SERVER, mayHaveReached ? MAYBE : NO);
    }

    /** Whether a refused request may have reached a server; also if an instance of an earlier version refused it. */
    static boolean mayHaveReachedServer(HttpHeaders headers) {
        return !NO.equals(headers.get(REACHED_SERVER));
    }
}
