package org.ibissaddle.daemon.caller;

import java.io.IOException;

/** Thrown when an answer is written to a caller that has closed its connection. */
public final class CallerGoneException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure. */
    public CallerGoneException() {
        super("the caller has closed its connection before its answer ended");
    }
}
