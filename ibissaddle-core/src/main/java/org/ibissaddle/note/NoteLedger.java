package org.ibissaddle.note;

import java.util.List;
import java.util.Optional;
import org.ibissaddle.internal.note.NoteHistory;

/**
 * Decides which release note is in force at one instance. This state machine reads no clock, performs no I/O and is not
 * thread-safe.
 *
 * <p>While the process runs, the number in force never decreases, and the content under a number never changes.
 *
 * <pre>{@code
 * switch (ledger.offer(text, NoteSource.PLATFORM, nowMs)) {
 *     case NoteOfferResult.Accepted accepted -> use(accepted.note());
 *     case NoteOfferResult.AlreadyInForce same -> {}
 *     case NoteOfferResult.Older older -> {}
 *     case NoteOfferResult.Conflict conflict -> alarm(conflict);
 *     case NoteOfferResult.Refused refused -> alarm(refused.faults());
 * }
 * }</pre>
 */
public final class NoteLedger {
    private final NoteHistory history = new NoteHistory();
    private Optional<ReleaseNote> inForce = Optional.empty();
    private Optional<ReleaseNote> previous = Optional.empty();
    private Optional<NoteSource> source = Optional.empty();
    private Optional<NoteOfferResult> lastProblem = Optional.empty();
    private long acceptedAtMs;
    private long lastConfirmedAtMs = Long.MIN_VALUE;
    private long highestKnownNumber;

    /** Creates a ledger without a note in force. */
    public NoteLedger() {}

    /**
     * Parses the text of a note and puts the note in force if it is valid and newer.
     *
     * @param text INI text of the complete state, or of the changes against the note in force or the one before it
     * @param from the source of the note
     * @param nowMs current time in epoch milliseconds
     * @return the outcome
     */
    public NoteOfferResult offer(String text, NoteSource from, long nowMs) {
        try {
            return offer(NoteReader.read(text, this::findNote), from, nowMs);
        } catch (NoteRejectedException e) {
            return recordRefusal(e.faults(), from);
        }
    }

    /**
     * Records that the text of a note was refused.
     *
     * @param faults all validation errors found
     * @param from the source of the text
     * @return the recorded outcome
     */
    public NoteOfferResult recordRefusal(List<NoteFault> faults, NoteSource from) {
        NoteOfferResult refused = new NoteOfferResult.Refused(faults, from);
        lastProblem = Optional.of(refused);
        return refused;
    }

    /**
     * Puts a note in force if it is newer than the one in force.
     *
     * @param note the note
     * @param from the source of the note
     * @param nowMs current time in epoch milliseconds
     * @return the outcome
     */
    public NoteOfferResult offer(ReleaseNote note, NoteSource from, long nowMs) {
        highestKnownNumber = Math.max(highestKnownNumber, note.number());
        long number = number();
        if (note.number() < number) {
            return new NoteOfferResult.Older(note.number(), number);
        }
        if (note.number() == number && inForce.isPresent()) {
            ReleaseNote current = inForce.get();
            if (current.digest().equals(note.digest())) {
                return new NoteOfferResult.AlreadyInForce(number);
            }
            NoteOfferResult conflict = new NoteOfferResult.Conflict(number, current.digest(), note.digest(), from);
            lastProblem = Optional.of(conflict);
            return conflict;
        }
        inForce.ifPresent(replaced -> history.add(replaced, note));
        previous = inForce;
        inForce = Optional.of(note);
        source = Optional.of(from);
        lastProblem = Optional.empty();
        acceptedAtMs = nowMs;
        return new NoteOfferResult.Accepted(note, from);
    }

    /**
     * Records the newest note that a source knows.
     *
     * @param number number of that note; 0 if the source knows none
     * @param digest its digest or a prefix of it; empty if the source does not provide one
     * @param atMs time of the confirmation by the local clock, in epoch milliseconds
     * @return true if the source has different content under the number in force
     */
    public boolean recordConfirmation(long number, String digest, long atMs) {
        highestKnownNumber = Math.max(highestKnownNumber, number);
        if (inForce.isEmpty() || number != inForce.get().number()) {
            return false;
        }
        if (!inForce.get().digest().startsWith(digest)) {
            lastProblem = Optional.of(
                    new NoteOfferResult.Conflict(number, inForce.get().digest(), digest, NoteSource.PEER));
            return true;
        }
        lastConfirmedAtMs = Math.max(lastConfirmedAtMs, atMs);
        return false;
    }

    /**
     * Returns the note in force.
     *
     * @return the note, or empty if none has been accepted yet
     */
    public Optional<ReleaseNote> inForce() {
        return inForce;
    }

    /**
     * Returns the number of the note in force.
     *
     * @return the number, or 0 if no note is in force
     */
    public long number() {
        return inForce.map(ReleaseNote::number).orElse(0L);
    }

    /**
     * Returns the digest of the note in force.
     *
     * @return the digest, or an empty string if no note is in force
     */
    public String digest() {
        return inForce.map(ReleaseNote::digest).orElse("");
    }

    /**
     * Checks whether a source has reported a higher number than the one in force.
     *
     * @return true if the note in force is known to be outdated
     */
    public boolean isOutdated() {
        return highestKnownNumber > number();
    }

    /**
     * Returns the status of the note in force for operators.
     *
     * @param nowMs current time in epoch milliseconds
     * @return the status
     */
    public NoteStatus status(long nowMs) {
        Optional<Long> confirmedAtMs =
                lastConfirmedAtMs == Long.MIN_VALUE ? Optional.empty() : Optional.of(lastConfirmedAtMs);
        return new NoteStatus(number(), digest(), source, acceptedAtMs, confirmedAtMs, isOutdated(), lastProblem);
    }

    /**
     * Returns when a source last confirmed that the note in force is the newest one it knows.
     *
     * @return local time in epoch milliseconds, or empty if no source has confirmed it yet
     */
    public Optional<Long> lastConfirmedAtMs() {
        return lastConfirmedAtMs == Long.MIN_VALUE ? Optional.empty() : Optional.of(lastConfirmedAtMs);
    }

    /**
     * Returns the changes from an earlier note to the one in force, for a peer that has the earlier note.
     *
     * @param number number of the earlier note
     * @param digest digest of the earlier note
     * @return delta texts in the order to apply them, or empty if the full text must be sent
     */
    public Optional<List<String>> deltasSince(long number, String digest) {
        return inForce.flatMap(note -> history.deltasSince(number, digest, note));
    }

    /**
     * Finds a note that a delta can be based on.
     *
     * @param number number of the note
     * @return the note in force or the previous one if its number matches, otherwise empty
     */
    public Optional<ReleaseNote> findNote(long number) {
        Optional<ReleaseNote> current = inForce.filter(note -> note.number() == number);
        return current.isPresent() ? current : previous.filter(note -> note.number() == number);
    }
}
