package org.ibissaddle.backend;

import java.util.OptionalLong;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.ServerId;

/**
 * An incarnation of a backend server that has announced in a response that it is leaving.
 *
 * @param id id of the server
 * @param startedMs start time of its process in epoch milliseconds; empty if the server does not publish it
 */
public record LeavingServer(ServerId id, OptionalLong startedMs) {
    /**
     * Returns the incarnation that an entry describes.
     *
     * @param entry the entry
     * @return the incarnation
     */
    public static LeavingServer of(ServerEntry entry) {
        return new LeavingServer(entry.id(), entry.startedMs());
    }
}
