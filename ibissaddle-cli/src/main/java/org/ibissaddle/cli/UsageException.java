package org.ibissaddle.cli;

/** Thrown when options or arguments of a command are wrong. */
public final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what is wrong, naming the option or argument
     */
    public UsageException(String message) {
        super(message);
    }
}
