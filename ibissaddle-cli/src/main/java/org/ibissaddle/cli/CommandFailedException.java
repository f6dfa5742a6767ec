package org.ibissaddle.cli;

/** Thrown when a command with valid usage fails. */
public final class CommandFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the failure
     */
    public CommandFailedException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message description of the failure
     * @param cause cause of the failure
     */
    public CommandFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
