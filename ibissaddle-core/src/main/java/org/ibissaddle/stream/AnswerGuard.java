package org.ibissaddle.stream;

import java.util.Optional;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.stream.Verdict.BreakReason;
import org.ibissaddle.stream.Verdict.DropReason;

/** Lets each character of one answer pass once and in order. Used by one thread at a time. */
public final class AnswerGuard {
    private final RequestId request;
    private final int maxKept;
    private final StringBuilder kept = new StringBuilder();
    private int attempt;
    private long next;
    private boolean ended;
    private boolean complete;

    private AnswerGuard(RequestId request, int maxKept) {
        this.request = request;
        this.maxKept = maxKept;
    }

    /**
     * Makes a guard for a new answer.
     *
     * @param request request that is answered
     * @param maxKept most characters kept to continue the answer on another server
     * @return the guard
     */
    public static AnswerGuard of(RequestId request, int maxKept) {
        return new AnswerGuard(request, maxKept);
    }

    /**
     * Makes a guard for an answer whose beginning was relayed by another instance.
     *
     * @param request request that is answered
     * @param attempt attempt that generates the answer
     * @param offset number of characters that the caller has
     * @return the guard
     */
    public static AnswerGuard resumed(RequestId request, int attempt, long offset) {
        AnswerGuard guard = new AnswerGuard(request, 0);
        guard.attempt = attempt;
        guard.next = offset;
        return guard;
    }

    /**
     * Judges a piece.
     *
     * @param piece the piece
     * @return what to do with it
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
        return inOrder(piece);
    }

    private Verdict inOrder(Piece piece) {
        long from = piece.id().offset();
        long until = from + piece.text().length();
        if (from > next) {
            return new Verdict.Broken(ended ? BreakReason.TEXT_BEHIND_END : BreakReason.GAP);
        }
        if (ended) {
            return until > next
                    ? new Verdict.Broken(BreakReason.TEXT_BEHIND_END)
                    : new Verdict.Drop(DropReason.DUPLICATE);
        }
        if (until < next || (until == next && from < next && !piece.last())) {
            return piece.last() ? new Verdict.Broken(BreakReason.GAP) : new Verdict.Drop(DropReason.DUPLICATE);
        }
        String text = piece.text().substring((int) (next - from));
        keep(text);
        next = until;
        ended = piece.last();
        return new Verdict.Relay(text);
    }

    private void keep(String text) {
        if (kept.length() == next) {
            kept.append(text, 0, Math.min(text.length(), Math.max(0, maxKept - kept.length())));
        }
    }

    /**
     * Notes the end mark.
     *
     * @return a break when the answer had not ended, else empty
     */
    public Optional<Verdict.Broken> endMark() {
        if (!ended) {
            return Optional.of(new Verdict.Broken(BreakReason.MISSING_END));
        }
        complete = true;
        return Optional.empty();
    }

    /**
     * Notes that the answer goes on as another attempt: from its beginning when nothing was relayed, else behind what
     * was.
     *
     * @param number the new attempt
     */
    public void newAttempt(int number) {
        if (number <= attempt) {
            throw new IllegalArgumentException(
                    "attempt " + number + " of request " + request + " is not above " + attempt + "; count upwards");
        }
        attempt = number;
        ended = false;
    }

    /**
     * Returns the current attempt.
     *
     * @return number of the attempt, from 0
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns how much was relayed.
     *
     * @return characters relayed, which is the next offset expected
     */
    public long relayed() {
        return next;
    }

    /**
     * Tells whether the end mark came after the whole answer.
     *
     * @return whether a clean end may be told to the caller
     */
    public boolean complete() {
        return complete;
    }

    /**
     * Returns the exact text relayed so far.
     *
     * @return the text, empty when it was too long to keep or began at another instance
     */
    public Optional<String> textSoFar() {
        return kept.length() == next ? Optional.of(kept.toString()) : Optional.empty();
    }
}
