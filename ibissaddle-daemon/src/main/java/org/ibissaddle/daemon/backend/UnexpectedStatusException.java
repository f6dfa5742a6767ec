package org.ibissaddle.daemon.backend;

import java.io.IOException;
import org.ibissaddle.id.Address;

/** Thrown when a small read is answered with another status than 200. */
public final class UnexpectedStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    UnexpectedStatusException(Address address, String path, int status) {
        super("GET " + path + " at " + address + " was answered with status " + status);
        this.status = status;
    }

    /**
     * Returns the status.
     *
     * @return HTTP status code
     */
    public int status() {
        return status;
    }
}
