package org.ibissaddle.standins.internal.engine;

/** Carries a generated answer to one connection. */
public interface AnswerWriter {
    /** Writes what has been generated since the last call. */
    void advance();
}
