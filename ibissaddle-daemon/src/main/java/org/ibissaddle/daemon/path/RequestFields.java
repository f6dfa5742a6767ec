package org.ibissaddle.daemon.path;

import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;

/** Reads the gateway's own header fields. */
public final class RequestFields {
    private RequestFields() {}

    /**
     * Returns when the caller gives up.
     *
     * @param request the request
     * @param defaultMs deadline of a request that names none, milliseconds after its arrival
     * @return epoch milliseconds
     * @throws RefusedException when the field is not a number
     */
    public static long deadlineMs(CallerRequest request, long defaultMs) throws RefusedException {
        var text = request.head().header(Headers.DEADLINE);
        if (text.isEmpty()) {
            return request.arrivedAtMs() + defaultMs;
        }
        try {
            return Long.parseLong(text.get());
        } catch (NumberFormatException e) {
            throw malformed(Headers.DEADLINE, text.get());
        }
    }

    /** Returns the priority; a caller may lower that of its workspace, not raise it. */
    static int priority(RequestHead head, Workspace workspace) throws RefusedException {
        var text = head.header(Headers.PRIORITY);
        if (text.isEmpty()) {
            return workspace.priority();
        }
        try {
            int asked = Integer.parseInt(text.get());
            return Math.max(0, Math.min(asked, workspace.priority()));
        } catch (NumberFormatException e) {
            throw malformed(Headers.PRIORITY, text.get());
        }
    }

    private static RefusedException malformed(String field, String value) {
        String message = "header field \"" + field + "\" is not a whole number: \"" + value + "\"";
        return new RefusedException(Refusal.of(RefusalType.MALFORMED_REQUEST, message, Fate.NOT_RUN));
    }
}
