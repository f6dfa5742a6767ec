package org.ibissaddle.ticket;

/** Thrown when a ticket or stream token cannot be accepted. */
public final class TicketException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why. */
    private final Reason reason;

    /**
     * Makes the exception.
     *
     * @param reason why
     * @param message what is wrong
     */
    public TicketException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /**
     * Returns why.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /** Reasons for which a ticket is not accepted. */
    public enum Reason {
        /** Not of the form that instances write. */
        MALFORMED,
        /** Not signed with the key of this deployment. */
        FOREIGN,
        /** Given out for another call. */
        OTHER_CALL
    }
}
