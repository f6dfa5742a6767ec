package org.ibissaddle.standins.internal.http;

/** Thrown by a handler to answer a request with a typed refusal. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String type;
    private final Ran ran;

    /**
     * Creates a refusal.
     *
     * @param type the kebab-case error type
     * @param message text that names the thing at fault
     */
    public RefusedException(int status, String type, Ran ran, String message) {
        super(message);
        this.status = status;
        this.type = type;
        this.ran = ran;
    }

    /** Creates a 400 refusal of a malformed request. */
    public static RefusedException badRequest(String message) {
        return new RefusedException(400, "bad-request", Ran.NOT_RUN, message);
    }

    /** Creates a 404 refusal. */
    public static RefusedException notFound(String message) {
        return new RefusedException(404, "not-found", Ran.NOT_RUN, message);
    }

    /** Builds the reply that carries this refusal. */
    public Reply toReply() {
        return Reply.json(status, new Body(new Detail(type, getMessage(), ran))).withHeader("X-Ran", ran.word());
    }

    private record Body(Detail error) {}

    private record Detail(String type, String message, Ran ran) {}
}
