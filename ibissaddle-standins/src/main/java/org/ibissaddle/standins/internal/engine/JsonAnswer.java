package org.ibissaddle.standins.internal.engine;

import java.util.Optional;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** Sends an answer as a single JSON response once it is complete. */
public final class JsonAnswer implements AnswerWriter {
    private final Generation generation;
    private final HttpExchange exchange;
    private final StreamFaults faults;
    private final DelayedExecutor delayedExecutor;

    /** Creates a writer for one answer. */
    public JsonAnswer(
            Generation generation, HttpExchange exchange, StreamFaults faults, DelayedExecutor delayedExecutor) {
        this.generation = generation;
        this.exchange = exchange;
        this.faults = faults;
        this.delayedExecutor = delayedExecutor;
    }

    @Override
    public void advance() {
        if (!generation.ended()) {
            return;
        }
        generation.detach(this);
        delayedExecutor.runAt(faults.notBeforeMs(), this::answer);
    }

    private void answer() {
        CompletionRequest request = generation.request();
        if (generation.state() == Generation.State.CANCELLED) {
            exchange.reply(cancelled(request).toReply());
            return;
        }
        Optional<CompletionRequest> crossed = faults.crossed();
        String text = crossed.map(other -> ResponseText.textFor(other.model(), other.prompt(), other.maxTokens()))
                .orElseGet(() ->
                        generation.answer().substring(request.continueText().length()));
        CompletionRequest named = crossed.orElse(request);
        Reply reply = Reply.json(
                200, CompletionFormat.completion(named, generation.promptTokens(), text, generation.finishReason()));
        for (var header : CompletionFormat.headers(named).entrySet()) {
            reply = reply.withHeader(header.getKey(), header.getValue());
        }
        exchange.reply(reply);
    }

    private static RequestRejectedException cancelled(CompletionRequest request) {
        return new RequestRejectedException(
                499, "cancelled", ExecutionOutcome.RAN, "request \"" + request.id() + "\" was cancelled");
    }
}
