package org.ibissaddle.dispatch;

import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Refusal;

/** Verified result of one attempt, or of the selection of a server. */
public sealed interface AttemptResult {
    /**
     * No byte of the call was passed to a connection.
     *
     * @param server the selected server
     * @param refusal the cause
     */
    record Unsent(ServerId server, Refusal refusal) implements AttemptResult {}

    /**
     * The server itself reported that it did not execute the call.
     *
     * @param server the server
     * @param refusal the reported cause
     */
    record ReportedNotRun(ServerId server, Refusal refusal) implements AttemptResult {}

    /**
     * The complete response was received.
     *
     * @param server the server
     * @param answer the response
     */
    record Answered(ServerId server, Answer answer) implements AttemptResult {}

    /**
     * At least part of the call was written, and no response was received.
     *
     * @param server the server
     * @param refusal the cause
     */
    record LostAfterWrite(ServerId server, Refusal refusal) implements AttemptResult {}

    /**
     * The response was cut off, and no part of it was relayed to the caller.
     *
     * @param server the server
     * @param refusal the cause
     */
    record TruncatedResponse(ServerId server, Refusal refusal) implements AttemptResult {}

    /**
     * The response was partly relayed to the caller and cannot be completed.
     *
     * @param server the server
     * @param refusal the cause
     */
    record TruncatedRelayedResponse(ServerId server, Refusal refusal) implements AttemptResult {}

    /**
     * No server can currently accept the call.
     *
     * @param refusal the cause
     */
    record NoServerAvailable(Refusal refusal) implements AttemptResult {}
}
