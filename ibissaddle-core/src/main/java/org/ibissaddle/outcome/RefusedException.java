package org.ibissaddle.outcome;

/** Thrown when a request is refused or fails; carries the typed refusal. */
public final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Wraps a refusal.
     *
     * @param refusal what the caller is told
     */
    public RefusedException(Refusal refusal) {
        super(refusal.message());
        this.refusal = refusal;
    }

    /**
     * Returns the refusal.
     *
     * @return what the caller is told
     */
    public Refusal refusal() {
        return refusal;
    }
}
