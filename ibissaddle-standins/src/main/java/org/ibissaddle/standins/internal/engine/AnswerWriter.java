package org.ibissaddle.standins.internal.engine;

/** Writes a generated answer to one connection. */
public interface AnswerWriter {
    /** Writes the text generated since the last call. */
    void advance();
}
