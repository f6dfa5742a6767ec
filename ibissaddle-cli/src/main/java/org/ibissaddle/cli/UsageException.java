package org.ibissaddle.cli;

/** Thrown when the options or arguments of a command are invalid. */
public final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the error that names the option or argument
     */
    public UsageException(String message) {
        super(message);
    }
}
