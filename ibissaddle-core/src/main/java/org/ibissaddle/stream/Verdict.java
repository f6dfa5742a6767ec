package org.ibissaddle.stream;

/** What to do with a piece of an answer. */
public sealed interface Verdict {
    /**
     * Relay it.
     *
     * @param text the part of its text that was not relayed before
     */
    record Relay(String text) implements Verdict {}

    /**
     * Pass over it; the answer stays whole.
     *
     * @param reason why
     */
    record Drop(DropReason reason) implements Verdict {}

    /**
     * Relay nothing more from this connection; the answer must be resumed or ended with an error.
     *
     * @param reason why
     */
    record Broken(BreakReason reason) implements Verdict {}

    /** Reasons to pass over a piece. */
    enum DropReason {
        /** It belongs to an earlier attempt. */
        LATE_ATTEMPT,
        /** All of it was relayed before. */
        DUPLICATE
    }

    /** Reasons to give up a connection. */
    enum BreakReason {
        /** A piece belongs to another request. */
        FOREIGN_REQUEST,
        /** A piece belongs to an attempt that was not made. */
        UNKNOWN_ATTEMPT,
        /** Text is missing before the piece. */
        GAP,
        /** Text follows behind the end. */
        TEXT_BEHIND_END,
        /** The connection ended before the end mark. */
        MISSING_END,
        /** A piece has no readable position. */
        UNREADABLE
    }
}
