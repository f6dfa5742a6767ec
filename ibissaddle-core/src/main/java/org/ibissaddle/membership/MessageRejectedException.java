package org.ibissaddle.membership;

/** Thrown when a message of another instance is not well-formed. */
public final class MessageRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param type type of the message
     * @param reason what is wrong with it
     * @param cause what the decoder threw, possibly null
     */
    public MessageRejectedException(Class<?> type, String reason, Throwable cause) {
        super("message of type " + type.getSimpleName() + " is rejected: " + reason, cause);
    }
}
