package org.ibissaddle.daemon.path;

import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;

/** Parses the header fields that the gateway defines for requests. */
public final class RequestFieldParser {
    private RequestFieldParser() {}

    /**
     * Returns the deadline of a request.
     *
     * @param request the request
     * @param defaultMs time from arrival to the deadline in milliseconds, for requests without the header field
     * @return deadline in epoch milliseconds
     * @throws RefusedException if the field is not an integer
     */
    public static long deadlineMs(CallerRequest request, long defaultMs) throws RefusedException {
        var value = request.head().header(GatewayHeaders.DEADLINE);
        if (value.isEmpty()) {
            return request.arrivedAtMs() + defaultMs;
        }
        try {
            return Long.parseLong(value.get());
        } catch (NumberFormatException e) {
            throw malformedInteger(GatewayHeaders.DEADLINE, value.get());
        }
    }

    /** Returns the priority of a request; a client may lower the priority of its workspace but not raise it. */
    static int priority(RequestHead head, Workspace workspace) throws RefusedException {
        var value = head.header(GatewayHeaders.PRIORITY);
        if (value.isEmpty()) {
            return workspace.priority();
        }
        try {
            int requested = Integer.parseInt(value.get());
            return Math.max(0, Math.min(requested, workspace.priority()));
        } catch (NumberFormatException e) {
            throw malformedInteger(GatewayHeaders.PRIORITY, value.get());
        }
    }

    private static RefusedException malformedInteger(String field, String value) {
        String message = "header field \"" + field + "\" is not a whole number: \"" + value + "\"";
        return new RefusedException(Refusal.of(RefusalType.MALFORMED_REQUEST, message, ExecutionStatus.NOT_RUN));
    }
}
