package org.ibissaddle.daemon.caller;

import java.io.IOException;
import java.util.Map;

/** Sends the response to a client. Used by a single thread; sending may block while the client reads slowly. */
public interface ClientResponseWriter {
    /**
     * Sends a complete response.
     *
     * @param status HTTP status code
     * @param headers header fields
     * @param body the complete body
     * @throws IOException if the client has disconnected
     */
    void sendComplete(int status, Map<String, String> headers, byte[] body) throws IOException;

    /**
     * Starts a response whose body is sent in chunks.
     *
     * @param status HTTP status code
     * @param headers header fields
     * @throws IOException if the client has disconnected
     */
    void start(int status, Map<String, String> headers) throws IOException;

    /**
     * Sends a chunk of the body, blocking while the write buffer of the connection is full.
     *
     * @param bytes the chunk
     * @throws IOException if the client has disconnected
     */
    void sendChunk(byte[] bytes) throws IOException;

    /**
     * Completes a response that was sent in chunks.
     *
     * @throws IOException if the client has disconnected
     */
    void end() throws IOException;

    /** Closes the connection so that the client detects that the response is incomplete. */
    void abort();

    /**
     * Returns whether the response has been started.
     *
     * @return whether bytes of the response may have been sent
     */
    boolean started();

    /**
     * Registers an action to run if the client disconnects before the response is complete.
     *
     * @param action run at most once, on another thread; immediately if the client has already disconnected
     */
    void onDisconnect(Runnable action);
}
