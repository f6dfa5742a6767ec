package org.ibissaddle.cli;

/** Thrown when a command was used rightly but fails. */
public final class CommandFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what failed
     */
    public CommandFailedException(String message) {
        super(message);
    }

    /**
     * Creates the failure.
     *
     * @param message what failed
     * @param cause why
     */
    public CommandFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
