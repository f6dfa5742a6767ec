package org.ibissaddle.dispatch;

import java.util.List;
import java.util.Map;

/** A whole answer of a backend server. */
public final class Answer {
    private final int status;
    private final Map<String, String> headers;
    private final byte[] body;

    /**
     * Makes an answer.
     *
     * @param status HTTP status code
     * @param headers header fields to relay, names in lower case
     * @param body the whole body; not copied, so the maker must not change it
     */
    public Answer(int status, Map<String, String> headers, byte[] body) {
        this.status = status;
        this.headers = Map.copyOf(headers);
        this.body = body;
    }

    /**
     * Returns the status.
     *
     * @return HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the header fields.
     *
     * @return names in lower case and values
     */
    public Map<String, String> headers() {
        return headers;
    }

    /**
     * Returns the size of the body.
     *
     * @return bytes
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
