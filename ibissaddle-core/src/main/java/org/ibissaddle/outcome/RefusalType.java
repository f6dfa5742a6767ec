package org.ibissaddle.outcome;

import java.util.Locale;

/** Reasons for which a request is refused or fails. */
public enum RefusalType {
    /** The request is not well-formed HTTP, JSON or UTF-8. */
    MALFORMED_REQUEST(400),
    /** The body exceeds the limit of the settings. */
    BODY_TOO_LARGE(413),
    /** The header fields exceed the limit. */
    HEADERS_TOO_LARGE(431),
    /** The note declares no such model. */
    UNKNOWN_MODEL(404),
    /** The note declares no such call. */
    UNKNOWN_ROUTE(404),
    /** The note declares no such workspace. */
    UNKNOWN_WORKSPACE(403),
    /** The workspace is bound to another region. */
    WRONG_REGION(421),
    /** The call may run once only and carries no ticket. */
    TICKET_REQUIRED(428),
    /** The ticket is not one of this deployment or not for this call. */
    TICKET_INVALID(400),
    /** The deadline of the ticket has passed. */
    TICKET_EXPIRED(410),
    /** The instance that may run the call cannot be reached. */
    OWNER_UNREACHABLE(502),
    /** The instance that might have run the call has restarted since. */
    OWNER_RESTARTED(410),
    /** The call is still running. */
    IN_PROGRESS(409),
    /** The predicted wait exceeds the deadline. */
    OVERLOADED(503),
    /** The workspace exceeds its limit. */
    LIMIT_EXCEEDED(429),
    /** The deadline of the request has passed. */
    DEADLINE_PASSED(504),
    /** No backend server can take the request. */
    NO_SERVER(503),
    /** The instance is leaving. */
    DRAINING(503),
    /** The request has crashed backend servers before. */
    QUARANTINED(422),
    /** The instance holds no release note yet. */
    NOT_READY(503),
    /** The request was forwarded once already. */
    FORWARD_REFUSED(508),
    /** The backend server failed. */
    BACKEND_FAILED(502),
    /** The answer could not be completed. */
    ANSWER_CUT(502),
    /** No stream is known for the token. */
    UNKNOWN_STREAM(404),
    /** A fault of ibissaddle itself. */
    INTERNAL(500);

    private final int status;

    RefusalType(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code for this type.
     *
     * @return status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name used in JSON.
     *
     * @return the name in lower case with hyphens
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
