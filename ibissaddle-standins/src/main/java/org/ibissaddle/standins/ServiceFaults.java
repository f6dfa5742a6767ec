package org.ibissaddle.standins;

/**
 * Faults of a plain service stand-in. {@code POST /control} replaces the fields that its JSON object names.
 *
 * @param delayMs how long an answer is held back after the request ran
 * @param closeBeforeAnswer how many requests still run and then lose their connection in place of an answer
 * @param retryAfter503 how many requests still run and are then answered 503 with {@code Retry-After: 0}
 * @param redirect307 how many requests still run and are then answered 307 to the same path
 * @param drain whether requests are refused without running
 * @param closeIdleAfterMs after how many idle milliseconds a kept-alive connection closes; 0 for never
 */
public record ServiceFaults(
        long delayMs, int closeBeforeAnswer, int retryAfter503, int redirect307, boolean drain, long closeIdleAfterMs) {

    /** A service without faults. */
    public static ServiceFaults none() {
        return new ServiceFaults(0, 0, 0, 0, false, 0);
    }

    ServiceFaults withCloseBeforeAnswer(int left) {
        return new ServiceFaults(delayMs, left, retryAfter503, redirect307, drain, closeIdleAfterMs);
    }

    ServiceFaults withRetryAfter503(int left) {
        return new ServiceFaults(delayMs, closeBeforeAnswer, left, redirect307, drain, closeIdleAfterMs);
    }

    ServiceFaults withRedirect307(int left) {
        return new ServiceFaults(delayMs, closeBeforeAnswer, retryAfter503, left, drain, closeIdleAfterMs);
    }
}
