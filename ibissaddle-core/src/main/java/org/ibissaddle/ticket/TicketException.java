package org.ibissaddle.ticket;

/** Thrown when a ticket or stream token cannot be accepted. */
public final class TicketException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /**
     * Creates the exception.
     *
     * @param reason why the ticket or token was rejected
     * @param message description of the problem
     */
    public TicketException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /**
     * Returns why the ticket or token was rejected.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /** Reasons for rejecting a ticket or token. */
    public enum Reason {
        /** The text does not have the format that instances produce. */
        MALFORMED,
        /** The text was not signed with the key of this deployment. */
        FOREIGN,
        /** The ticket was issued for another call. */
        OTHER_CALL
    }
}
