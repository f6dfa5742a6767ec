package org.ibissaddle.daemon.caller;

import java.util.Optional;
import org.ibissaddle.outcome.Refusal;

/** Checks and handles the requests that the server receives. */
public interface RequestHandler {
    /**
     * Checks a request before its body is read. Must not block.
     *
     * @param head request line and header fields
     * @return the refusal, or empty if the body may be read
     */
    Optional<Refusal> check(RequestHead head);

    /**
     * Called when the server itself has refused a request, for example because the body is too large. Must not block.
     *
     * @param refusal the refusal sent to the client
     */
    default void onRefused(Refusal refusal) {}

    /**
     * Handles a request. Called on a separate thread for each request, which may block.
     *
     * @param request the request
     * @param response sends the response
     */
    void handle(CallerRequest request, ClientResponseWriter response);

    /**
     * Returns whether connections are to be closed after the current request.
     *
     * @return whether the instance is draining
     */
    default boolean draining() {
        return false;
    }
}
