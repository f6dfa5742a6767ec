package org.ibissaddle.daemon.backend;

import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Thrown if the body of a response is too long or truncated. */
final class UnusableBodyException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableBodyException(ServerId server, String problem) {
        super("the response of server " + server + " " + problem);
    }

    /** Returns the refusal that the caller receives if no other attempt succeeds. */
    Refusal refusal() {
        return Refusal.of(RefusalType.ANSWER_CUT, getMessage(), ExecutionStatus.RAN);
    }
}
