package org.ibissaddle.dispatch;

import java.util.EnumMap;
import java.util.Map;

/** What a request has waited for, and how long for each. Not thread-safe; confined to one thread. */
public final class RequestWaits {
    /** What a request waits for. */
    public enum Cause {
        /** The rest of its body. */
        BODY,
        /** Its turn at the instance, behind requests that were received before. */
        INTAKE,
        /** The first configuration after the start of the instance. */
        CONFIGURATION,
        /** Tokens of its workspace's quota. */
        QUOTA,
        /** A free server. */
        QUEUE,
        /** The response of a server. */
        SERVER,
        /** The response of another instance. */
        INSTANCE
    }

    private final Map<Cause, Long> waitedMs = new EnumMap<>(Cause.class);
    private Cause current = Cause.BODY;
    private long sinceMs;

    /**
     * Creates the waits of a request that is being received.
     *
     * @param arrivedMs arrival of its head, milliseconds
     */
    public RequestWaits(long arrivedMs) {
        this.sinceMs = arrivedMs;
    }

    /**
     * Records that the request waits for something else from now on.
     *
     * @param cause what it waits for
     * @param nowMs current time, milliseconds
     */
    public void start(Cause cause, long nowMs) {
        waitedMs.merge(current, nowMs - sinceMs, Long::sum);
        current = cause;
        sinceMs = nowMs;
    }

    /**
     * Returns what the request waits for.
     *
     * @return the cause
     */
    public Cause current() {
        return current;
    }

    /**
     * Returns how long the request has waited for something.
     *
     * @param cause the cause
     * @param nowMs current time, milliseconds
     * @return total time, milliseconds
     */
    public long waitedMs(Cause cause, long nowMs) {
        return waitedMs.getOrDefault(cause, 0L) + (cause == current ? nowMs - sinceMs : 0);
    }

    /**
     * Returns whether a request has waited at its own instance so long that no server can answer it in time.
     *
     * @param deadlineMs end of its timeout, milliseconds
     * @param lagMs time by which its arrival was noticed too late, milliseconds
     * @param shortestResponseMs lower bound of the time to its response, milliseconds
     * @param nowMs current time, milliseconds
     * @return true if it is to be rejected at once
     */
    public static boolean isTooLate(long deadlineMs, long lagMs, long shortestResponseMs, long nowMs) {
        return nowMs + shortestResponseMs + lagMs >= deadlineMs;
    }
}
