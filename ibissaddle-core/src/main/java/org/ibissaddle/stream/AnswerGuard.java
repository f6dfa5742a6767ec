package org.ibissaddle.stream;

import java.util.Optional;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.stream.Verdict.BreakReason;
import org.ibissaddle.stream.Verdict.DropReason;

/**
 * Checks the chunks of one streamed response, so that each character is relayed exactly once and in order. Not
 * thread-safe.
 */
public final class AnswerGuard {
    private final RequestId request;
    private final int maxRetainedChars;
    private final StringBuilder retainedText = new StringBuilder();
    private int attempt;
    private long nextOffset;
    private boolean ended;
    private boolean complete;

    private AnswerGuard(RequestId request, int maxRetainedChars) {
        this.request = request;
        this.maxRetainedChars = maxRetainedChars;
    }

    /**
     * Creates a guard for a new response.
     *
     * @param request id of the request
     * @param maxRetainedChars maximum number of characters retained to continue the response on another server
     * @return the guard
     */
    public static AnswerGuard of(RequestId request, int maxRetainedChars) {
        return new AnswerGuard(request, maxRetainedChars);
    }

    /**
     * Creates a guard for a response whose beginning was relayed by another instance.
     *
     * @param request id of the request
     * @param attempt attempt that generates the response
     * @param offset number of characters that the caller has received
     * @return the guard
     */
    public static AnswerGuard resumed(RequestId request, int attempt, long offset) {
        AnswerGuard guard = new AnswerGuard(request, 0);
        guard.attempt = attempt;
        guard.nextOffset = offset;
        return guard;
    }

    /**
     * Checks a chunk and advances the position if it is to be relayed.
     *
     * @param piece the chunk
     * @return how to handle the chunk
     */
    public Verdict accept(Piece piece) {
        if (!piece.id().request().equals(request)) {
            return new Verdict.Broken(BreakReason.FOREIGN_REQUEST);
        }
        if (piece.id().attempt() < attempt) {
            return new Verdict.Drop(DropReason.LATE_ATTEMPT);
        }
        if (piece.id().attempt() > attempt) {
            return new Verdict.Broken(BreakReason.UNKNOWN_ATTEMPT);
        }
        return acceptAtOffset(piece);
    }

    private Verdict acceptAtOffset(Piece piece) {
        long startOffset = piece.id().offset();
        long endOffset = startOffset + piece.text().length();
        if (startOffset > nextOffset) {
            return new Verdict.Broken(ended ? BreakReason.TEXT_BEHIND_END : BreakReason.GAP);
        }
        if (ended) {
            return endOffset > nextOffset
                    ? new Verdict.Broken(BreakReason.TEXT_BEHIND_END)
                    : new Verdict.Drop(DropReason.DUPLICATE);
        }
        if (endOffset < nextOffset || (endOffset == nextOffset && startOffset < nextOffset && !piece.last())) {
            return piece.last() ? new Verdict.Broken(BreakReason.GAP) : new Verdict.Drop(DropReason.DUPLICATE);
        }
        String text = piece.text().substring((int) (nextOffset - startOffset));
        retain(text);
        nextOffset = endOffset;
        ended = piece.last();
        return new Verdict.Relay(text);
    }

    private void retain(String text) {
        if (retainedText.length() == nextOffset) {
            retainedText.append(
                    text, 0, Math.min(text.length(), Math.max(0, maxRetainedChars - retainedText.length())));
        }
    }

    /**
     * Records the end-of-stream marker.
     *
     * @return the violation if the final chunk of the response was not received, empty otherwise
     */
    public Optional<Verdict.Broken> endMark() {
        if (!ended) {
            return Optional.of(new Verdict.Broken(BreakReason.MISSING_END));
        }
        complete = true;
        return Optional.empty();
    }

    /**
     * Switches to another attempt, which starts over if nothing was relayed and otherwise continues after the relayed
     * text.
     *
     * @param number number of the new attempt
     * @throws IllegalArgumentException if the number is not above the current one
     */
    public void newAttempt(int number) {
        if (number <= attempt) {
            throw new IllegalArgumentException("attempt " + number + " of request " + request + " is not above "
                    + attempt + "; attempt numbers must increase");
        }
        attempt = number;
        ended = false;
    }

    /**
     * Returns the number of the current attempt.
     *
     * @return the attempt number, starting at 0
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the number of relayed characters, which is also the next expected offset.
     *
     * @return number of characters
     */
    public long relayed() {
        return nextOffset;
    }

    /**
     * Returns whether the end-of-stream marker followed a complete response.
     *
     * @return true if the end of the response may be signaled to the caller
     */
    public boolean complete() {
        return complete;
    }

    /**
     * Returns the text relayed so far.
     *
     * @return the text, empty if it exceeds the retention limit or its beginning was relayed by another instance
     */
    public Optional<String> relayedText() {
        return retainedText.length() == nextOffset ? Optional.of(retainedText.toString()) : Optional.empty();
    }
}
