package org.ibissaddle.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.standins.PromptBlocks;
import org.ibissaddle.standins.internal.JsonCodec;

/** Serializes answers in the chat completion and text completion formats. */
final class CompletionFormat {
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private CompletionFormat() {}

    /** Returns one server-sent event of a streamed completion. */
    static byte[] chunkEvent(CompletionRequest request, int offset, String text, Optional<String> finishReason) {
        String id = request.id() + "/" + request.attempt() + "/" + offset;
        Object choice = request.chat()
                ? new DeltaChoice(0, new Content(text), finishReason)
                : new TextChoice(0, text, finishReason);
        String kind = request.chat() ? "chat.completion.chunk" : "text_completion";
        String data = JsonCodec.text(new CompletionChunk(request.id(), kind, request.model(), List.of(choice)));
        return ("id: " + id + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the terminating event of a stream. */
    static byte[] doneEvent() {
        return DONE_EVENT.clone();
    }

    /** Returns the body of a completion that is not streamed. */
    static Object completion(CompletionRequest request, int promptTokens, String text, String finishReason) {
        Object choice = request.chat()
                ? new MessageChoice(0, new Message("assistant", text), finishReason)
                : new TextChoice(0, text, Optional.of(finishReason));
        String kind = request.chat() ? "chat.completion" : "text_completion";
        int answerTokens = PromptBlocks.tokens(text);
        Usage usage = new Usage(promptTokens, answerTokens, promptTokens + answerTokens);
        return new FullCompletion(request.id(), kind, request.model(), List.of(choice), usage);
    }

    /** Returns the headers that identify a request and its attempt. */
    static Map<String, String> headers(CompletionRequest request) {
        return Map.of("X-Request-Id", request.id(), "X-Attempt", Integer.toString(request.attempt()));
    }

    private record CompletionChunk(String id, String object, String model, List<Object> choices) {}

    private record FullCompletion(String id, String object, String model, List<Object> choices, Usage usage) {}

    private record Usage(int promptTokens, int completionTokens, int totalTokens) {}

    private record DeltaChoice(int index, Content delta, Optional<String> finishReason) {}

    private record TextChoice(int index, String text, Optional<String> finishReason) {}

    private record MessageChoice(int index, Message message, String finishReason) {}

    private record Content(String content) {}

    private record Message(String role, String content) {}
}
