package org.ibissaddle.backend;

import java.util.Optional;

/** Result of selecting a server for a request. */
public sealed interface Choice {
    /**
     * A server can accept the request now.
     *
     * @param server the selected server
     * @param waitMs predicted wait in milliseconds: prefill of the backlog and the prompt, then decoding of a typical
     *     response; 0 for a plain service
     * @param cacheSource server from which the KV cache of missing prompt tokens is copied, empty if the selected
     *     server prefills them itself
     */
    record Found(BackendServer server, long waitMs, Optional<BackendServer> cacheSource) implements Choice {}

    /**
     * Servers are available, but none can accept the request now.
     *
     * @param reason why the servers cannot accept it
     */
    record Busy(String reason) implements Choice {}

    /**
     * No server is eligible for the request.
     *
     * @param reason why there is none
     */
    record Absent(String reason) implements Choice {}
}
