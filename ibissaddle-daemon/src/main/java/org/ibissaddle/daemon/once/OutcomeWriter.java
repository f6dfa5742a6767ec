package org.ibissaddle.daemon.once;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.path.Headers;
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

    void write(Outcome outcome, CallerReply reply) throws IOException {
        switch (outcome) {
            case Outcome.Ran ran -> write(ran.answer(), reply);
            case Outcome.FailedAfterRunning failed -> write(failed.refusal(), reply);
            case Outcome.NotRun notRun -> write(notRun.refusal(), reply);
            case Outcome.Unknown unknown -> write(unknown.refusal(), reply);
        }
    }

    private void write(Answer answer, CallerReply reply) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(answer.headers());
        headers.put(Headers.RAN, ExecutionStatus.RAN.wireName());
        headers.put(Headers.INSTANCE, self.name());
        reply.whole(answer.status(), headers, answer.body());
    }

    void write(Refusal refusal, CallerReply reply) throws IOException {
        Map<String, String> headers = RefusalJson.headers(refusal, clock.nowMs());
        headers.put(Headers.INSTANCE, self.name());
        reply.whole(refusal.type().status(), headers, RefusalJson.encode(refusal));
    }
}
