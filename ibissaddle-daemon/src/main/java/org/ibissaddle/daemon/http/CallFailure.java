package org.ibissaddle.daemon.http;

/** The reason why an HTTP call failed. Only {@link NotSent} and {@link ConnectionLost} come from the other side. */
public sealed interface CallFailure {
    /**
     * Returns a short description for logs.
     *
     * @return the description
     */
    String reason();

    /**
     * The remote end could not be reached, so the request was not sent.
     *
     * @param reason a short description for logs
     */
    record NotSent(String reason) implements CallFailure {}

    /**
     * The remote end closed or reset the connection after the request was sent and before its response was complete.
     * The remote process may have ended, but the cause may as well be the network or an expired idle connection.
     *
     * @param reason a short description for logs
     * @param reused whether the connection had carried earlier requests
     */
    record ConnectionLost(String reason, boolean reused) implements CallFailure {}

    /**
     * The client closed the connection because what it received is no response to the request: malformed bytes, or
     * bytes of another response.
     *
     * @param reason a short description for logs
     */
    record InvalidResponse(String reason) implements CallFailure {}

    /**
     * The call failed in this process, such as for lack of local ports. This says nothing about the remote end.
     *
     * @param reason a short description for logs
     * @param sent whether the request may have been sent
     */
    record LocalError(String reason, boolean sent) implements CallFailure {}
}
