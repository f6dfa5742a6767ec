package org.ibissaddle.standins;

/**
 * Faults injected into a plain service stand-in. {@code POST /control} replaces the fields given in its JSON object.
 *
 * @param delayMs the delay of a response after the request was executed
 * @param closeBeforeAnswer the number of following requests that are executed and whose connection is then closed
 *     without a response
 * @param retryAfter503 the number of following requests that are executed and then answered with status 503 and
 *     {@code Retry-After: 0}
 * @param redirect307 the number of following requests that are executed and then redirected to the same path with
 *     status 307
 * @param drain whether requests are rejected without being executed
 * @param closeIdleAfterMs the idle timeout of keep-alive connections in milliseconds; 0 disables it
 */
public record ServiceFaults(
        long delayMs, int closeBeforeAnswer, int retryAfter503, int redirect307, boolean drain, long closeIdleAfterMs) {

    /** Returns a configuration without faults. */
    public static ServiceFaults none() {
        return new ServiceFaults(0, 0, 0, 0, false, 0);
    }

    ServiceFaults withCloseBeforeAnswer(int remaining) {
        return new ServiceFaults(delayMs, remaining, retryAfter503, redirect307, drain, closeIdleAfterMs);
    }

    ServiceFaults withRetryAfter503(int remaining) {
        return new ServiceFaults(delayMs, closeBeforeAnswer, remaining, redirect307, drain, closeIdleAfterMs);
    }

    ServiceFaults withRedirect307(int remaining) {
        return new ServiceFaults(delayMs, closeBeforeAnswer, retryAfter503, remaining, drain, closeIdleAfterMs);
    }
}
