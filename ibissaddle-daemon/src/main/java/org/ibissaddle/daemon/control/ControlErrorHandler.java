package org.ibissaddle.daemon.control;

import io.jooby.Context;
import io.jooby.ErrorHandler;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Responds with a typed refusal to control port requests that no route has handled or whose route has failed. */
final class ControlErrorHandler implements ErrorHandler {
    private static final String RAN_HEADER = "X-Ran";

    @Override
    public void apply(Context ctx, Throwable cause, StatusCode code) {
        Refusal refusal = refusal(ctx, code);
        ctx.setResponseCode(code);
        ctx.setResponseType(MediaType.json);
        ctx.setResponseHeader(RAN_HEADER, refusal.executionStatus().wireName());
        ctx.send(RefusalJson.encode(refusal));
    }

    private static Refusal refusal(Context ctx, StatusCode code) {
        String endpoint = ctx.getMethod() + " " + ctx.getRequestPath();
        if (code.value() == StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE) {
            return Refusal.of(
                    RefusalType.BODY_TOO_LARGE,
                    "the body of \"" + endpoint + "\" exceeds the size limit",
                    ExecutionStatus.NOT_RUN);
        }
        if (code.value() == StatusCode.NOT_FOUND_CODE || code.value() == StatusCode.METHOD_NOT_ALLOWED_CODE) {
            return Refusal.of(
                    RefusalType.UNKNOWN_ROUTE,
                    "the control port has no endpoint \"" + endpoint + "\"",
                    ExecutionStatus.NOT_RUN);
        }
        if (code.value() < StatusCode.SERVER_ERROR_CODE) {
            return Refusal.of(
                    RefusalType.MALFORMED_REQUEST,
                    "request \"" + endpoint + "\" is malformed",
                    ExecutionStatus.NOT_RUN);
        }
        return Refusal.of(
                RefusalType.INTERNAL,
                "internal error of the control port on request \"" + endpoint + "\"",
                ExecutionStatus.UNKNOWN);
    }
}
