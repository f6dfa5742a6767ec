package org.ibissaddle.daemon.caller;

import java.util.Optional;
import org.ibissaddle.outcome.Refusal;

/** What the caller port serves. */
public interface CallerService {
    /**
     * Checks a request on its head alone, before its body is read. Must not block.
     *
     * @param head start line and header fields
     * @return the refusal, empty when the body may be read
     */
    Optional<Refusal> check(RequestHead head);

    /**
     * Learns of a refusal that the caller port gave by itself, for example of a body that is too large. Must not block.
     *
     * @param refusal what the caller was told
     */
    default void refused(Refusal refusal) {}

    /**
     * Serves a request. Called on a thread of its own that may block.
     *
     * @param request the request
     * @param reply the way back
     */
    void serve(CallerRequest request, CallerReply reply);

    /**
     * Tells whether connections are closed after their current request.
     *
     * @return whether the instance is leaving
     */
    boolean leaving();
}
