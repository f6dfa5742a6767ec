package org.ibissaddle.daemon.stream;

import org.ibissaddle.outcome.Refusal;

/** Thrown when an answer that has begun cannot be completed. */
final class AnswerCutException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    AnswerCutException(Refusal refusal) {
        super(refusal.message());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
