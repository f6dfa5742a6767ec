package org.ibissaddle.membership;

/** Thrown when a message from another instance cannot be decoded. */
public final class MessageRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param type type of the message
     * @param reason why it cannot be decoded
     * @param cause the exception of the decoder, or null
     */
    public MessageRejectedException(Class<?> type, String reason, Throwable cause) {
        super("cannot decode message of type " + type.getSimpleName() + ": " + reason, cause);
    }
}
