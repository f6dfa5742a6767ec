package org.ibissaddle.standins.internal.http;

/** Thrown by a handler to reject a request with a typed error response. */
public final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String type;
    private final ExecutionOutcome executionOutcome;

    /**
     * Creates a rejection.
     *
     * @param status the HTTP status code
     * @param type the error type in kebab case
     * @param executionOutcome whether the request was executed
     * @param message the error message, which names the affected object
     */
    public RequestRejectedException(int status, String type, ExecutionOutcome executionOutcome, String message) {
        super(message);
        this.status = status;
        this.type = type;
        this.executionOutcome = executionOutcome;
    }

    /** Creates a rejection of a malformed request with status 400. */
    public static RequestRejectedException badRequest(String message) {
        return new RequestRejectedException(400, "bad-request", ExecutionOutcome.NOT_RUN, message);
    }

    /** Creates a rejection with status 404. */
    public static RequestRejectedException notFound(String message) {
        return new RequestRejectedException(404, "not-found", ExecutionOutcome.NOT_RUN, message);
    }

    /** Returns the error response for this rejection. */
    public Reply toReply() {
        return Reply.json(status, new Body(new Detail(type, getMessage(), executionOutcome)))
                .withHeader("X-Ran", executionOutcome.wireName());
    }

    private record Body(Detail error) {}

    private record Detail(String type, String message, ExecutionOutcome executionOutcome) {}
}
