package org.ibissaddle.standins.internal.engine;

import java.util.ArrayList;
import java.util.List;
import org.ibissaddle.standins.PromptBlocks;
import org.ibissaddle.standins.ResponseText;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** A request in the engine with its answer and the progress of its generation. */
public final class Generation {
    /** The lifecycle states of a generation. */
    public enum State {
        /** Waiting for a slot in the batch. */
        QUEUED,
        /** In the batch. */
        RUNNING,
        /** Completely generated. */
        FINISHED,
        /** Cancelled before the answer was complete. */
        CANCELLED
    }

    private final CompletionRequest request;
    private final long arrival;
    private final String answer;
    private final int promptTokens;
    private final List<AnswerWriter> writers = new ArrayList<>();
    private State state = State.QUEUED;
    private int generatedLength;
    private int remainingPrefillTokens;

    /**
     * Creates a queued generation.
     *
     * @param arrival the arrival number, which orders generations of equal priority
     */
    public Generation(CompletionRequest request, long arrival) throws RequestRejectedException {
        this.request = request;
        this.arrival = arrival;
        this.answer = ResponseText.textFor(request.model(), request.prompt(), request.maxTokens());
        this.promptTokens = PromptBlocks.tokens(cachedText());
        this.generatedLength = request.continueText().length();
        if (!answer.startsWith(request.continueText()) || splitsCharacter(generatedLength)) {
            throw new RequestRejectedException(
                    400,
                    "continue-text-mismatch",
                    ExecutionOutcome.NOT_RUN,
                    "continue_text of request \"" + request.id() + "\" is not a prefix of its answer");
        }
    }

    public CompletionRequest request() {
        return request;
    }

    /** Returns the arrival number, which orders generations of equal priority. */
    public long arrival() {
        return arrival;
    }

    /** Returns the priority; 0 is the lowest. */
    public int priority() {
        return request.priority();
    }

    /** Returns the whole answer, whether or not it has been generated yet. */
    public String answer() {
        return answer;
    }

    public State state() {
        return state;
    }

    /** Returns whether the generation has finished or was cancelled. */
    public boolean ended() {
        return state == State.FINISHED || state == State.CANCELLED;
    }

    /** Returns the length of the generated part of the answer in UTF-16 code units. */
    public int generatedLength() {
        return generatedLength;
    }

    /** Returns the finish reason reported in the last chunk. */
    public String finishReason() {
        return request.maxTokens() > 0 ? "length" : "stop";
    }

    /** Returns the text whose blocks are looked up and stored in the prefix cache. */
    public String cachedText() {
        return request.prompt() + request.continueText();
    }

    /** Returns the number of tokens in {@link #cachedText()}. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the number of prompt tokens left to prefill. */
    public int remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    /** Returns the approximate number of answer tokens left to decode. */
    public int remainingDecodeTokens() {
        return PromptBlocks.tokens(answer) - generatedLength / PromptBlocks.CHARS_PER_TOKEN;
    }

    /** Returns the end of the word that starts at an offset, limited to the generated part. */
    public int nextChunkEnd(int offset) {
        return Math.min(generatedLength, wordEnd(offset));
    }

    /** Returns whether an offset lies outside the answer or inside a surrogate pair. */
    public boolean isBadOffset(long offset) {
        return offset < 0 || offset > answer.length() || splitsCharacter((int) offset);
    }

    /** Moves this generation from the queue into the batch. */
    public void admit(int uncachedTokens) {
        state = State.RUNNING;
        remainingPrefillTokens = uncachedTokens;
    }

    /** Prefills at most {@code budget} prompt tokens and returns how many were prefilled. */
    public int prefill(int budget) {
        int read = Math.min(budget, remainingPrefillTokens);
        remainingPrefillTokens -= read;
        return read;
    }

    /** Decodes the next word. */
    public void decode() {
        generatedLength = wordEnd(generatedLength);
        if (generatedLength == answer.length()) {
            state = State.FINISHED;
        }
    }

    /** Ends this generation before its answer is complete. */
    public void cancel() {
        state = State.CANCELLED;
    }

    /** Adds a writer that sends the answer to a connection. */
    public void attach(AnswerWriter writer) {
        writers.add(writer);
    }

    /** Removes a writer. */
    public void detach(AnswerWriter writer) {
        writers.remove(writer);
    }

    /** Returns whether no writer is attached. */
    public boolean hasNoWriters() {
        return writers.isEmpty();
    }

    /** Notifies all writers of progress. */
    public void notifyWriters() {
        for (AnswerWriter writer : List.copyOf(writers)) {
            writer.advance();
        }
    }

    private int wordEnd(int offset) {
        int space = answer.indexOf(' ', offset + 1);
        return space < 0 ? answer.length() : space;
    }

    private boolean splitsCharacter(int offset) {
        return offset > 0 && offset < answer.length() && Character.isLowSurrogate(answer.charAt(offset));
    }
}
