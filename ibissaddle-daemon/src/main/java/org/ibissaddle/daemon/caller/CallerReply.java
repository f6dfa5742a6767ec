package org.ibissaddle.daemon.caller;

import java.io.IOException;
import java.util.Map;

/** The way back to a caller. Used by one thread; every call may block while the caller is slow. */
public interface CallerReply {
    /**
     * Sends the whole answer at once.
     *
     * @param status HTTP status code
     * @param headers header fields
     * @param body the whole body
     * @throws IOException when the caller is gone
     */
    void whole(int status, Map<String, String> headers, byte[] body) throws IOException;

    /**
     * Starts an answer that is sent in pieces.
     *
     * @param status HTTP status code
     * @param headers header fields
     * @throws IOException when the caller is gone
     */
    void start(int status, Map<String, String> headers) throws IOException;

    /**
     * Sends a piece, waiting while earlier pieces have not been taken.
     *
     * @param bytes the piece
     * @throws IOException when the caller is gone
     */
    void piece(byte[] bytes) throws IOException;

    /**
     * Ends an answer cleanly.
     *
     * @throws IOException when the caller is gone
     */
    void end() throws IOException;

    /** Breaks the answer off so that the caller sees it was cut. */
    void abort();

    /**
     * Tells whether the answer was started.
     *
     * @return whether a byte of it may have left
     */
    boolean started();

    /**
     * Registers what is to happen when the caller goes before its answer has ended.
     *
     * @param action called at most once, on another thread; at once when the caller has gone already
     */
    void onGone(Runnable action);
}
