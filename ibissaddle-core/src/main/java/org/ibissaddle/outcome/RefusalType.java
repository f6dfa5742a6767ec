package org.ibissaddle.outcome;

import java.util.Locale;

/** Reasons for rejecting or failing a request, with their HTTP status codes. */
public enum RefusalType {
    /** The request is not well-formed HTTP, JSON or UTF-8. */
    MALFORMED_REQUEST(400),
    /** The body exceeds the configured limit. */
    BODY_TOO_LARGE(413),
    /** The header fields exceed the configured limit. */
    HEADERS_TOO_LARGE(431),
    /** The release note does not declare the model. */
    UNKNOWN_MODEL(404),
    /** The release note does not declare the route. */
    UNKNOWN_ROUTE(404),
    /** The release note does not declare the workspace. */
    UNKNOWN_WORKSPACE(403),
    /** The workspace is bound to another region. */
    WRONG_REGION(421),
    /** The call is not idempotent and carries no ticket. */
    TICKET_REQUIRED(428),
    /** The ticket was not issued by this deployment, or was issued for another call. */
    TICKET_INVALID(400),
    /** The deadline of the ticket has passed. */
    TICKET_EXPIRED(410),
    /** The only instance allowed to execute the call is unreachable. */
    OWNER_UNREACHABLE(502),
    /** The instance that may have executed the call has restarted since. */
    OWNER_RESTARTED(410),
    /** The call is still running. */
    IN_PROGRESS(409),
    /** The predicted queueing delay exceeds the deadline. */
    OVERLOADED(503),
    /** The workspace exceeds its configured limit. */
    LIMIT_EXCEEDED(429),
    /** The deadline of the request has passed. */
    DEADLINE_PASSED(504),
    /** No backend server can accept the request. */
    NO_SERVER(503),
    /** The instance is draining. */
    DRAINING(503),
    /** The request has crashed backend servers before and is quarantined. */
    QUARANTINED(422),
    /** The instance has not loaded a release note yet. */
    NOT_READY(503),
    /** The request has already been forwarded once. */
    FORWARD_REFUSED(508),
    /** The backend server failed. */
    BACKEND_FAILED(502),
    /** The response was cut off and could not be completed. */
    ANSWER_CUT(502),
    /** The token does not identify a known stream. */
    UNKNOWN_STREAM(404),
    /** Internal error of the gateway. */
    INTERNAL(500);

    private final int status;

    RefusalType(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code of this type.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the value used in JSON.
     *
     * @return the constant name in lower case with hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
