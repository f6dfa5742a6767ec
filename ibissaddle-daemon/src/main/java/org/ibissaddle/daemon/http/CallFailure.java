package org.ibissaddle.daemon.http;

/** The reason why an HTTP call failed. */
public sealed interface CallFailure {
    /**
     * Returns a short description for logs.
     *
     * @return the description
     */
    String reason();

    /**
     * The connection could not be established, so the request was not sent.
     *
     * @param reason a short description for logs
     */
    record NotSent(String reason) implements CallFailure {}

    /**
     * The connection was closed or returned an invalid response after the request was sent.
     *
     * @param reason a short description for logs
     * @param reused whether the connection had carried earlier requests
     */
    record ConnectionFailed(String reason, boolean reused) implements CallFailure {}
}
