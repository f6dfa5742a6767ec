package org.ibissaddle.standins.internal.http;

/** Thrown by a handler to reject a request with a typed error response. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String type;
    private final Ran ran;

    /**
     * Creates a rejection.
     *
     * @param status the HTTP status code
     * @param type the error type in kebab case
     * @param ran whether the request was executed
     * @param message the error message, which names the affected object
     */
    public RefusedException(int status, String type, Ran ran, String message) {
        super(message);
        this.status = status;
        this.type = type;
        this.ran = ran;
    }

    /** Creates a rejection of a malformed request with status 400. */
    public static RefusedException badRequest(String message) {
        return new RefusedException(400, "bad-request", Ran.NOT_RUN, message);
    }

    /** Creates a rejection with status 404. */
    public static RefusedException notFound(String message) {
        return new RefusedException(404, "not-found", Ran.NOT_RUN, message);
    }

    /** Returns the error response for this rejection. */
    public Reply toReply() {
        return Reply.json(status, new Body(new Detail(type, getMessage(), ran))).withHeader("X-Ran", ran.wireName());
    }

    private record Body(Detail error) {}

    private record Detail(String type, String message, Ran ran) {}
}
