package org.ibissaddle.dispatch;

import java.util.List;
import java.util.Map;

/** A complete response of a backend server. */
public final class Answer {
    private final int status;
    private final Map<String, String> headers;
    private final byte[] body;

    /**
     * Creates a response.
     *
     * @param status HTTP status code
     * @param headers header fields to relay; names are in lower case
     * @param body the complete body; not copied, so the caller must not modify the array
     */
    public Answer(int status, Map<String, String> headers, byte[] body) {
        this.status = status;
        this.headers = Map.copyOf(headers);
        this.body = body;
    }

    /**
     * Returns the HTTP status code.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the header fields.
     *
     * @return header values by lower-case name
     */
    public Map<String, String> headers() {
        return headers;
    }

    /**
     * Returns the size of the body.
     *
     * @return size in bytes
     */
    public int size() {
        return body.length;
    }

    /**
     * Returns the body.
     *
     * @return a copy
     */
    public byte[] body() {
        return body.clone();
    }

    @Override
    public String toString() {
        return "Answer" + List.of(status, body.length);
    }
}
