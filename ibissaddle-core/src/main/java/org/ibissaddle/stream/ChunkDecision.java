package org.ibissaddle.stream;

/** Result of checking a chunk of a streamed response. */
public sealed interface ChunkDecision {
    /**
     * Relay the chunk to the caller.
     *
     * @param text the part of its text that was not relayed before
     */
    record Relay(String text) implements ChunkDecision {}

    /**
     * Ignore the chunk. The response is not affected.
     *
     * @param reason why the chunk is ignored
     */
    record Drop(DropReason reason) implements ChunkDecision {}

    /**
     * Stop relaying from this connection. The response must be resumed or ended with an error.
     *
     * @param reason the violation that was detected
     */
    record Violation(ViolationReason reason) implements ChunkDecision {}

    /** Reasons to ignore a chunk. */
    enum DropReason {
        /** The chunk belongs to an earlier attempt. */
        LATE_ATTEMPT,
        /** All text of the chunk was relayed before. */
        DUPLICATE
    }

    /** Reasons to stop relaying from a connection. */
    enum ViolationReason {
        /** The chunk belongs to another request. */
        FOREIGN_REQUEST,
        /** The chunk belongs to an attempt that was not started. */
        UNKNOWN_ATTEMPT,
        /** Text before the chunk is missing. */
        GAP,
        /** The connection delivered text after the end of the response. */
        TEXT_BEHIND_END,
        /** The end-of-stream marker was received before the final chunk of the response. */
        MISSING_END,
        /** The chunk has no valid position. */
        UNREADABLE
    }
}
