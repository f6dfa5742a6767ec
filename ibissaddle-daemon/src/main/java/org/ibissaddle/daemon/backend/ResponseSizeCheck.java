package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Checks the size of a response before it is read into memory. */
final class ResponseSizeCheck {
    private ResponseSizeCheck() {}

    /** Returns the result of an attempt whose response is too long, empty if the response is within the limit. */
    static Optional<AttemptResult> check(ServerId server, Response response, long maxBytes) throws IOException {
        if (!response.body().source().request(maxBytes)) {
            return Optional.empty();
        }
        Refusal refusal = Refusal.of(
                RefusalType.ANSWER_CUT,
                "the response of server " + server + " exceeds " + maxBytes + " bytes",
                ExecutionStatus.RAN);
        return Optional.of(new AttemptResult.TruncatedResponse(server, refusal));
    }
}
