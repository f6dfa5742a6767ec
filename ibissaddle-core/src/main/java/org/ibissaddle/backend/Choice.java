package org.ibissaddle.backend;

import java.util.Optional;

/** The outcome of looking for a server. */
public sealed interface Choice {
    /**
     * A server can take the request now.
     *
     * @param server the server
     * @param waitMs predicted time to the first byte of its answer, milliseconds
     * @param cacheSource server from which it copies what it lacks of the prompt, empty when it reads all itself
     */
    record Found(BackendServer server, long waitMs, Optional<BackendServer> cacheSource) implements Choice {}

    /**
     * Servers exist, and none can take the request now.
     *
     * @param reason what keeps them
     */
    record Busy(String reason) implements Choice {}

    /**
     * No server may be used.
     *
     * @param reason why
     */
    record Absent(String reason) implements Choice {}
}
