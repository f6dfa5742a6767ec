package org.ibissaddle.daemon.stream;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.outcome.RefusedException;

/** Sends the outcome of a model call that is not streamed to its caller. */
final class OutcomeResponse {
    private OutcomeResponse() {}

    /** Sends the answer, or throws the refusal of a call without one. */
    static void send(Outcome outcome, InstanceId instance, ClientResponseWriter response)
            throws RefusedException, IOException {
        switch (outcome) {
            case Outcome.Ran ran -> {
                Map<String, String> headers = new LinkedHashMap<>(ran.answer().headers());
                headers.put(GatewayHeaders.INSTANCE, instance.name());
                response.sendComplete(
                        ran.answer().status(), headers, ran.answer().body());
            }
            case Outcome.FailedAfterRunning failed -> throw new RefusedException(failed.refusal());
            case Outcome.NotRun notRun -> throw new RefusedException(notRun.refusal());
            case Outcome.Unknown unknown -> throw new RefusedException(unknown.refusal());
        }
    }
}
