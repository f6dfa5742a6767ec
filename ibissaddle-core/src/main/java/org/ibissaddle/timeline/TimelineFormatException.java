package org.ibissaddle.timeline;

/** Thrown when the JSON text of a snapshot is invalid. */
public final class TimelineFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the text
     * @param cause the parser failure, null if the text was parsed but its content is invalid
     */
    public TimelineFormatException(String message, Throwable cause) {
        super("invalid timeline: " + message, cause);
    }
}
