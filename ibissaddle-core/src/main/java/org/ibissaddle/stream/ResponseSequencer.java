package org.ibissaddle.stream;

import java.util.Optional;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.stream.ChunkDecision.DropReason;
import org.ibissaddle.stream.ChunkDecision.ViolationReason;

/**
 * Checks the chunks of one streamed response, so that each character is relayed exactly once and in order. Not
 * thread-safe.
 */
public final class ResponseSequencer {
    private final RequestId request;
    private final int maxRetainedChars;
    private final StringBuilder retainedText = new StringBuilder();
    private int attempt;
    private long nextOffset;
    private boolean ended;
    private boolean isComplete;

    private ResponseSequencer(RequestId request, int maxRetainedChars) {
        this.request = request;
        this.maxRetainedChars = maxRetainedChars;
    }

    /**
     * Creates a sequencer for a new response.
     *
     * @param request id of the request
     * @param maxRetainedChars maximum number of characters retained to continue the response on another server
     * @return the sequencer
     */
    public static ResponseSequencer of(RequestId request, int maxRetainedChars) {
        return new ResponseSequencer(request, maxRetainedChars);
    }

    /**
     * Creates a sequencer for a response whose beginning was relayed by another instance.
     *
     * @param request id of the request
     * @param attempt attempt that generates the response
     * @param offset number of characters that the caller has received
     * @return the sequencer
     */
    public static ResponseSequencer resumed(RequestId request, int attempt, long offset) {
        ResponseSequencer sequencer = new ResponseSequencer(request, 0);
        sequencer.attempt = attempt;
        sequencer.nextOffset = offset;
        return sequencer;
    }

    /**
     * Checks a chunk and advances the position if it is to be relayed.
     *
     * @param chunk the chunk
     * @return how to handle the chunk
     */
    public ChunkDecision accept(ResponseChunk chunk) {
        if (!chunk.id().request().equals(request)) {
            return new ChunkDecision.Violation(ViolationReason.FOREIGN_REQUEST);
        }
        if (chunk.id().attempt() < attempt) {
            return new ChunkDecision.Drop(DropReason.LATE_ATTEMPT);
        }
        if (chunk.id().attempt() > attempt) {
            return new ChunkDecision.Violation(ViolationReason.UNKNOWN_ATTEMPT);
        }
        return acceptAtOffset(chunk);
    }

    private ChunkDecision acceptAtOffset(ResponseChunk chunk) {
        long startOffset = chunk.id().offset();
        long endOffset = startOffset + chunk.text().length();
        if (startOffset > nextOffset) {
            return new ChunkDecision.Violation(ended ? ViolationReason.TEXT_BEHIND_END : ViolationReason.GAP);
        }
        if (ended) {
            return endOffset > nextOffset
                    ? new ChunkDecision.Violation(ViolationReason.TEXT_BEHIND_END)
                    : new ChunkDecision.Drop(DropReason.DUPLICATE);
        }
        if (endOffset < nextOffset || (endOffset == nextOffset && startOffset < nextOffset && !chunk.last())) {
            return chunk.last()
                    ? new ChunkDecision.Violation(ViolationReason.GAP)
                    : new ChunkDecision.Drop(DropReason.DUPLICATE);
        }
        String text = chunk.text().substring((int) (nextOffset - startOffset));
        retain(text);
        nextOffset = endOffset;
        ended = chunk.last();
        return new ChunkDecision.Relay(text);
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
    public Optional<ChunkDecision.Violation> endOfStream() {
        if (!ended) {
            return Optional.of(new ChunkDecision.Violation(ViolationReason.MISSING_END));
        }
        isComplete = true;
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
    public long relayedChars() {
        return nextOffset;
    }

    /**
     * Returns whether the end-of-stream marker followed a complete response.
     *
     * @return true if the end of the response may be signaled to the caller
     */
    public boolean isComplete() {
        return isComplete;
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
