package org.ibissaddle.daemon.gateway;

/** Headers used between gateway instances; removed from the requests of callers and the responses of servers. */
final class InternalHeaders {
    /** Name of the instance that forwarded the request. */
    static final String FORWARDED_BY = "X-Ibissaddle-Forwarded-By";
    /** Set on an error response that an instance itself creates: {@link #NOT_RUN} or {@link #UNKNOWN}. */
    static final String OUTCOME = "X-Ibissaddle-Outcome";

    static final String NOT_RUN = "not-run";
    static final String UNKNOWN = "unknown";

    private InternalHeaders() {}
}
