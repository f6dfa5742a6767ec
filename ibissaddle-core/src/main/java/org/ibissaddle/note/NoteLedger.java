package org.ibissaddle.note;

import java.util.List;
import java.util.Optional;
import org.ibissaddle.internal.note.NoteHistory;

/**
 * Decides which release note is in force at one instance. A state machine without clock or I/O, for one thread.
 *
 * <p>The number in force never falls within one life of the process, and the content under one number never changes.
 *
 * <pre>{@code
 * switch (ledger.offer(text, NoteSource.PLATFORM, nowMs)) {
 *     case Offered.Accepted accepted -> use(accepted.note());
 *     case Offered.AlreadyInForce same -> {}
 *     case Offered.Older older -> {}
 *     case Offered.Conflict conflict -> alarm(conflict);
 *     case Offered.Refused refused -> alarm(refused.faults());
 * }
 * }</pre>
 */
public final class NoteLedger {
    private final NoteHistory history = new NoteHistory();
    private Optional<ReleaseNote> inForce = Optional.empty();
    private Optional<ReleaseNote> previous = Optional.empty();
    private Optional<NoteSource> source = Optional.empty();
    private Optional<Offered> trouble = Optional.empty();
    private long acceptedAtMs;
    private long freshAtMs = Long.MIN_VALUE;
    private long highestHeard;

    /** Creates a ledger that holds no note. */
    public NoteLedger() {}

    /**
     * Offers the text of a note.
     *
     * @param text INI text, whole or against the note in force
     * @param from where it came from
     * @param nowMs current time, epoch milliseconds
     * @return what became of it
     */
    public Offered offer(String text, NoteSource from, long nowMs) {
        try {
            return offer(NoteReader.read(text, this::note), from, nowMs);
        } catch (NoteRejectedException e) {
            return refused(e.faults(), from);
        }
    }

    /**
     * Records that a text was refused.
     *
     * @param faults all faults found
     * @param from where the text came from
     * @return the refusal
     */
    public Offered refused(List<NoteFault> faults, NoteSource from) {
        Offered refused = new Offered.Refused(faults, from);
        trouble = Optional.of(refused);
        return refused;
    }

    /**
     * Offers a note.
     *
     * @param note the note
     * @param from where it came from
     * @param nowMs current time, epoch milliseconds
     * @return what became of it
     */
    public Offered offer(ReleaseNote note, NoteSource from, long nowMs) {
        highestHeard = Math.max(highestHeard, note.number());
        long number = number();
        if (note.number() < number) {
            return new Offered.Older(note.number(), number);
        }
        if (note.number() == number && inForce.isPresent()) {
            ReleaseNote held = inForce.get();
            if (held.digest().equals(note.digest())) {
                return new Offered.AlreadyInForce(number);
            }
            Offered conflict = new Offered.Conflict(number, held.digest(), note.digest(), from);
            trouble = Optional.of(conflict);
            return conflict;
        }
        inForce.ifPresent(old -> history.add(old, note));
        previous = inForce;
        inForce = Optional.of(note);
        source = Optional.of(from);
        trouble = Optional.empty();
        acceptedAtMs = nowMs;
        return new Offered.Accepted(note, from);
    }

    /**
     * Records that a source knows no newer note than one.
     *
     * @param number number of the newest note that the source knows; 0 for none
     * @param digest its digest or the leading digits of it; empty when the source does not tell it
     * @param atMs when the source knew it, epoch milliseconds of the own clock
     * @return whether the source contradicts the note in force by other content under its number
     */
    public boolean confirm(long number, String digest, long atMs) {
        highestHeard = Math.max(highestHeard, number);
        if (inForce.isEmpty() || number != inForce.get().number()) {
            return false;
        }
        if (!inForce.get().digest().startsWith(digest)) {
            trouble = Optional.of(new Offered.Conflict(number, inForce.get().digest(), digest, NoteSource.PEER));
            return true;
        }
        freshAtMs = Math.max(freshAtMs, atMs);
        return false;
    }

    /**
     * Returns the note in force.
     *
     * @return the note, empty when none was accepted yet
     */
    public Optional<ReleaseNote> inForce() {
        return inForce;
    }

    /**
     * Returns the number in force.
     *
     * @return number of the note, 0 when there is none
     */
    public long number() {
        return inForce.map(ReleaseNote::number).orElse(0L);
    }

    /**
     * Returns the digest in force.
     *
     * @return digest of the note, empty text when there is none
     */
    public String digest() {
        return inForce.map(ReleaseNote::digest).orElse("");
    }

    /**
     * Tells whether a source has named a higher number than the one in force.
     *
     * @return whether the note in force is known to be outdated
     */
    public boolean behind() {
        return highestHeard > number();
    }

    /**
     * Describes the note for operators.
     *
     * @param nowMs current time, epoch milliseconds
     * @return number, digest, age and freshness
     */
    public NoteStatus status(long nowMs) {
        Optional<Long> fresh = freshAtMs == Long.MIN_VALUE ? Optional.empty() : Optional.of(freshAtMs);
        return new NoteStatus(number(), digest(), source, acceptedAtMs, fresh, behind(), trouble);
    }

    /**
     * Returns when a source last confirmed that no newer note is known.
     *
     * @return epoch milliseconds of the own clock, empty when none did yet
     */
    public Optional<Long> freshAtMs() {
        return freshAtMs == Long.MIN_VALUE ? Optional.empty() : Optional.of(freshAtMs);
    }

    /**
     * Lists the changes that lead from a note held elsewhere to the one in force.
     *
     * @param number number of the note held there
     * @param digest its digest
     * @return texts of notes against each other in order; empty when the whole text must be sent
     */
    public Optional<List<String>> changesSince(long number, String digest) {
        return inForce.flatMap(note -> history.chain(number, digest, note));
    }

    /**
     * Finds a note that may serve as a base.
     *
     * @param number its number
     * @return the note in force or the one before it, when it has that number
     */
    public Optional<ReleaseNote> note(long number) {
        Optional<ReleaseNote> current = inForce.filter(note -> note.number() == number);
        return current.isPresent() ? current : previous.filter(note -> note.number() == number);
    }
}
