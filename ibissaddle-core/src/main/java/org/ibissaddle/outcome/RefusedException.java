package org.ibissaddle.outcome;

/** Thrown when a request is rejected or fails; carries the typed error response. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates an exception for a refusal.
     *
     * @param refusal the error response for the caller
     */
    public RefusedException(Refusal refusal) {
        super(refusal.message());
        this.refusal = refusal;
    }

    /**
     * Returns the refusal.
     *
     * @return the error response for the caller
     */
    public Refusal refusal() {
        return refusal;
    }
}
