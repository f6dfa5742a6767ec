package org.ibissaddle.dispatch;

import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Refusal;

/** What is certain after one attempt, or after the search for a server. */
public sealed interface Evidence {
    /**
     * No byte of the call was handed to a connection.
     *
     * @param server the server that was to get it
     * @param refusal why
     */
    record NothingHanded(ServerId server, Refusal refusal) implements Evidence {}

    /**
     * The server said itself that it did not run the call.
     *
     * @param server the server
     * @param refusal what it said
     */
    record SaidNotRun(ServerId server, Refusal refusal) implements Evidence {}

    /**
     * The whole answer arrived.
     *
     * @param server the server
     * @param answer the answer
     */
    record Answered(ServerId server, Answer answer) implements Evidence {}

    /**
     * Something was written and no answer began.
     *
     * @param server the server
     * @param refusal what happened
     */
    record LostAfterWrite(ServerId server, Refusal refusal) implements Evidence {}

    /**
     * The answer began and was cut; nothing of it has been relayed.
     *
     * @param server the server
     * @param refusal what happened
     */
    record CutAnswer(ServerId server, Refusal refusal) implements Evidence {}

    /**
     * The answer began, was relayed in part, and cannot be completed.
     *
     * @param server the server
     * @param refusal what happened
     */
    record CutRelayed(ServerId server, Refusal refusal) implements Evidence {}

    /**
     * No server can take the call now.
     *
     * @param refusal why
     */
    record NoPlace(Refusal refusal) implements Evidence {}
}
