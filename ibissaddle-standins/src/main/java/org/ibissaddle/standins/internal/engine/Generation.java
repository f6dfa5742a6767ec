package org.ibissaddle.standins.internal.engine;

import java.util.ArrayList;
import java.util.List;
import org.ibissaddle.standins.AnswerText;
import org.ibissaddle.standins.PromptBlocks;
import org.ibissaddle.standins.internal.http.Ran;
import org.ibissaddle.standins.internal.http.RefusedException;

/** The state of one request in the engine: its answer and how far it has been generated. */
public final class Generation {
    /** The states of a generation. */
    public enum State {
        /** Waits for a place in the batch. */
        QUEUED,
        /** Has a place in the batch. */
        RUNNING,
        /** Generated to the end. */
        FINISHED,
        /** Ended early. */
        CANCELLED
    }

    private final CompletionRequest request;
    private final long arrival;
    private final String answer;
    private final int promptTokens;
    private final List<AnswerWriter> writers = new ArrayList<>();
    private State state = State.QUEUED;
    private int produced;
    private int prefillLeft;

    /**
     * Creates a waiting generation.
     *
     * @param arrival the order of arrival
     */
    public Generation(CompletionRequest request, long arrival) throws RefusedException {
        this.request = request;
        this.arrival = arrival;
        this.answer = AnswerText.answerFor(request.model(), request.prompt(), request.maxTokens());
        this.promptTokens = PromptBlocks.tokens(cachedText());
        this.produced = request.continueText().length();
        if (!answer.startsWith(request.continueText()) || splitsCharacter(produced)) {
            throw new RefusedException(
                    400,
                    "continue-text-mismatch",
                    Ran.NOT_RUN,
                    "continue_text of request \"" + request.id() + "\" is not a prefix of its answer");
        }
    }

    /** The request. */
    public CompletionRequest request() {
        return request;
    }

    /** The order of arrival. */
    public long arrival() {
        return arrival;
    }

    /** The priority, 0 lowest. */
    public int priority() {
        return request.priority();
    }

    /** The whole answer. */
    public String answer() {
        return answer;
    }

    /** The state. */
    public State state() {
        return state;
    }

    /** Whether nothing more will be generated. */
    public boolean ended() {
        return state == State.FINISHED || state == State.CANCELLED;
    }

    /** How much of the answer has been generated, in UTF-16 units. */
    public int produced() {
        return produced;
    }

    /** The reason that the last chunk gives. */
    public String finishReason() {
        return request.maxTokens() > 0 ? "length" : "stop";
    }

    /** The text whose cache blocks this generation uses. */
    public String cachedText() {
        return request.prompt() + request.continueText();
    }

    /** The tokens of {@link #cachedText()}. */
    public int promptTokens() {
        return promptTokens;
    }

    /** The prompt tokens that are still to be read. */
    public int prefillLeft() {
        return prefillLeft;
    }

    /** The answer tokens that are still to be generated, roughly. */
    public int decodeLeft() {
        return PromptBlocks.tokens(answer) - produced / PromptBlocks.CHARS_PER_TOKEN;
    }

    /** Returns the end of the word that starts at an offset, within what has been generated. */
    public int pieceEnd(int offset) {
        return Math.min(produced, wordEnd(offset));
    }

    /** Whether an offset lies outside the answer or inside a surrogate pair. */
    public boolean isBadOffset(long offset) {
        return offset < 0 || offset > answer.length() || splitsCharacter((int) offset);
    }

    /** Moves into the batch. */
    public void admit(int uncachedTokens) {
        state = State.RUNNING;
        prefillLeft = uncachedTokens;
    }

    /** Reads prompt tokens and returns how many were read. */
    public int prefill(int budget) {
        int read = Math.min(budget, prefillLeft);
        prefillLeft -= read;
        return read;
    }

    /** Generates the next word. */
    public void decode() {
        produced = wordEnd(produced);
        if (produced == answer.length()) {
            state = State.FINISHED;
        }
    }

    /** Ends early. */
    public void cancel() {
        state = State.CANCELLED;
    }

    /** Adds a receiver of the answer. */
    public void attach(AnswerWriter writer) {
        writers.add(writer);
    }

    /** Removes a receiver. */
    public void detach(AnswerWriter writer) {
        writers.remove(writer);
    }

    /** Whether nobody receives the answer. */
    public boolean isUnattended() {
        return writers.isEmpty();
    }

    /** Tells all receivers that the generation has moved on. */
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
