package org.ibissaddle.daemon.stream;

import org.ibissaddle.outcome.Refusal;

/** Thrown if a response that has started cannot be completed. */
final class IncompleteResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    IncompleteResponseException(Refusal refusal) {
        super(refusal.message());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
