package org.ibissaddle.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.standins.PromptBlocks;
import org.ibissaddle.standins.internal.Json;

/** Writes answers in the usual chat and text forms. */
final class Chunks {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private Chunks() {}

    /** One event of a stream. */
    static byte[] event(CompletionRequest request, int offset, String text, Optional<String> finishReason) {
        String id = request.id() + "/" + request.attempt() + "/" + offset;
        Object choice = request.chat()
                ? new DeltaChoice(0, new Content(text), finishReason)
                : new TextChoice(0, text, finishReason);
        String kind = request.chat() ? "chat.completion.chunk" : "text_completion";
        String data = Json.text(new Completion(request.id(), kind, request.model(), List.of(choice)));
        return ("id: " + id + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** The mark behind the last event. */
    static byte[] done() {
        return DONE.clone();
    }

    /** A whole answer. */
    static Object whole(CompletionRequest request, int promptTokens, String text, String finishReason) {
        Object choice = request.chat()
                ? new MessageChoice(0, new Message("assistant", text), finishReason)
                : new TextChoice(0, text, Optional.of(finishReason));
        String kind = request.chat() ? "chat.completion" : "text_completion";
        int answerTokens = PromptBlocks.tokens(text);
        Usage usage = new Usage(promptTokens, answerTokens, promptTokens + answerTokens);
        return new WholeCompletion(request.id(), kind, request.model(), List.of(choice), usage);
    }

    /** The headers that name a request. */
    static Map<String, String> headers(CompletionRequest request) {
        return Map.of("X-Request-Id", request.id(), "X-Attempt", Integer.toString(request.attempt()));
    }

    private record Completion(String id, String object, String model, List<Object> choices) {}

    private record WholeCompletion(String id, String object, String model, List<Object> choices, Usage usage) {}

    private record Usage(int promptTokens, int completionTokens, int totalTokens) {}

    private record DeltaChoice(int index, Content delta, Optional<String> finishReason) {}

    private record TextChoice(int index, String text, Optional<String> finishReason) {}

    private record MessageChoice(int index, Message message, String finishReason) {}

    private record Content(String content) {}

    private record Message(String role, String content) {}
}
