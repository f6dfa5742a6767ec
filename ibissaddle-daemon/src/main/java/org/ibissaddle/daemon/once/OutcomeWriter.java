package org.ibissaddle.daemon.once;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.port.Clock;

/** Writes the outcomes of calls as HTTP responses. */
final class OutcomeWriter {
    private final InstanceId self;
    private final Clock clock;

    OutcomeWriter(InstanceId self, Clock clock) {
        this.self = self;
        this.clock = clock;
    }

    void write(Outcome outcome, ClientResponseWriter response) throws IOException {
        switch (outcome) {
            case Outcome.Ran ran -> write(ran.answer(), response);
            case Outcome.FailedAfterRunning failed -> write(failed.refusal(), response);
            case Outcome.NotRun notRun -> write(notRun.refusal(), response);
            case Outcome.Unknown unknown -> write(unknown.refusal(), response);
        }
    }

    private void write(Answer answer, ClientResponseWriter response) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(answer.headers());
        headers.put(GatewayHeaders.RAN, ExecutionStatus.RAN.wireName());
        headers.put(GatewayHeaders.INSTANCE, self.name());
        response.sendComplete(answer.status(), headers, answer.body());
    }

    void write(Refusal refusal, ClientResponseWriter response) throws IOException {
        Map<String, String> headers = RefusalJson.headers(refusal, clock.nowMs());
        headers.put(GatewayHeaders.INSTANCE, self.name());
        response.sendComplete(refusal.type().status(), headers, RefusalJson.encode(refusal));
    }
}
