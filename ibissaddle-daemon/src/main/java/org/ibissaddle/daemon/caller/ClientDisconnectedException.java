package org.ibissaddle.daemon.caller;

import java.io.IOException;

/** Thrown when a response cannot be written because the client has closed the connection. */
public final class ClientDisconnectedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public ClientDisconnectedException() {
        super("the client closed the connection before the response was complete");
    }
}
