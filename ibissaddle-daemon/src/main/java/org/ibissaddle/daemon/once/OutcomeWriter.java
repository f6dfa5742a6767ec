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
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.port.Clock;

/** Tells callers how their calls ended. */
final class Outcomes {
    private final InstanceId self;
    private final Clock clock;

    Outcomes(InstanceId self, Clock clock) {
        this.self = self;
        this.clock = clock;
    }

    /** Sends an outcome. */
    void tell(Outcome outcome, CallerReply reply) throws IOException {
        switch (outcome) {
            case Outcome.Ran ran -> tell(ran.answer(), reply);
            case Outcome.FailedAfterRunning failed -> tell(failed.refusal(), reply);
            case Outcome.NotRun notRun -> tell(notRun.refusal(), reply);
            case Outcome.Unknown unknown -> tell(unknown.refusal(), reply);
        }
    }

    private void tell(Answer answer, CallerReply reply) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(answer.headers());
        headers.put(Headers.RAN, Fate.RAN.word());
        headers.put(Headers.INSTANCE, self.name());
        reply.whole(answer.status(), headers, answer.body());
    }

    /** Sends a refusal. */
    void tell(Refusal refusal, CallerReply reply) throws IOException {
        Map<String, String> headers = RefusalJson.headers(refusal, clock.nowMs());
        headers.put(Headers.INSTANCE, self.name());
        reply.whole(refusal.type().status(), headers, RefusalJson.encode(refusal));
    }
}
