package org.ibissaddle.backend;

import java.util.Optional;

/** Result of selecting a server for a request. */
public sealed interface ServerSelectionResult {
    /**
     * A server can accept the request now.
     *
     * @param server the selected server
     * @param waitMs predicted wait in milliseconds: prefill of the backlog and the prompt, then decoding of a typical
     *     response; 0 for a plain service
     * @param cacheSource server from which the KV cache of missing prompt tokens is copied, empty if the selected
     *     server prefills them itself
     */
    record Selected(BackendServer server, long waitMs, Optional<BackendServer> cacheSource)
            implements ServerSelectionResult {}

    /**
     * Servers are available, but none can accept the request now.
     *
     * @param reason why the servers cannot accept it
     */
    record AtCapacity(String reason) implements ServerSelectionResult {}

    /**
     * Servers have free slots, but a long prompt would make short ones miss their objectives there. It can still meet
     * its own if it waits.
     *
     * @param untilMs time in milliseconds at which it is sent in any case
     * @param waitMs predicted time in milliseconds to the first event if it were sent now
     * @param reason why it is held
     */
    record Held(long untilMs, long waitMs, String reason) implements ServerSelectionResult {}

    /**
     * Every eligible server has requested not to receive requests for a while.
     *
     * @param untilMs time at which the first of these periods ends, in milliseconds
     * @param reason why the servers cannot accept the request
     */
    record HeldOff(long untilMs, String reason) implements ServerSelectionResult {}

    /**
     * No server is eligible for the request.
     *
     * @param reason why there is none
     */
    record NoServer(String reason) implements ServerSelectionResult {}
}
