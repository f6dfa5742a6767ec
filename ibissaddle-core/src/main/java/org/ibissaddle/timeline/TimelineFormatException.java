package org.ibissaddle.timeline;

/** Thrown when a text is not a time line. */
public final class TimelineFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param message what is wrong with the text
     * @param cause why it could not be read, null when it was read
     */
    public TimelineFormatException(String message, Throwable cause) {
        super("the answer is not a time line: " + message, cause);
    }
}
