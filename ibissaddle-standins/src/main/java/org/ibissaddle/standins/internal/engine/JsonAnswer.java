package org.ibissaddle.standins.internal.engine;

import java.util.Optional;
import org.ibissaddle.standins.AnswerText;
import org.ibissaddle.standins.internal.http.Exchange;
import org.ibissaddle.standins.internal.http.Ran;
import org.ibissaddle.standins.internal.http.RefusedException;
import org.ibissaddle.standins.internal.http.Reply;

/** Sends an answer as a single JSON response once it is complete. */
public final class JsonAnswer implements AnswerWriter {
    private final Generation generation;
    private final Exchange exchange;
    private final StreamFaults faults;
    private final Timer timer;

    /** Creates a writer for one answer. */
    public JsonAnswer(Generation generation, Exchange exchange, StreamFaults faults, Timer timer) {
        this.generation = generation;
        this.exchange = exchange;
        this.faults = faults;
        this.timer = timer;
    }

    @Override
    public void advance() {
        if (!generation.ended()) {
            return;
        }
        generation.detach(this);
        timer.runAt(faults.notBeforeMs(), this::answer);
    }

    private void answer() {
        CompletionRequest request = generation.request();
        if (generation.state() == Generation.State.CANCELLED) {
            exchange.reply(cancelled(request).toReply());
            return;
        }
        Optional<CompletionRequest> crossed = faults.crossed();
        String text = crossed.map(other -> AnswerText.answerFor(other.model(), other.prompt(), other.maxTokens()))
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

    private static RefusedException cancelled(CompletionRequest request) {
        return new RefusedException(499, "cancelled", Ran.RAN, "request \"" + request.id() + "\" was cancelled");
    }
}
