package org.ibissaddle.dispatch;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.ticket.Ticket;

/**
 * Memory of the calls that this incarnation of an instance may run at most once. A key is claimed by the first call
 * that arrives; all others wait for its outcome or get it from memory until the ticket's deadline and a slack are over.
 * Once {@code not-run} has been said for a key, the key stays sealed and never runs.
 */
public final class OnceLedger {
    private final InstanceId self;
    private final Incarnation incarnation;
    private final OnceLimits limits;
    private final ConcurrentHashMap<String, Permit> permits = new ConcurrentHashMap<>();
    private final AtomicLong size = new AtomicLong();
    private final AtomicLong answerBytes = new AtomicLong();
    private final AtomicLong latestMs = new AtomicLong(Long.MIN_VALUE);

    /**
     * Makes an empty ledger.
     *
     * @param self this instance
     * @param incarnation this life of it
     * @param limits bounds of memory
     */
    public OnceLedger(InstanceId self, Incarnation incarnation, OnceLimits limits) {
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
    }

    /**
     * Decides what to do with a call.
     *
     * @param ticket its verified ticket
     * @param nowMs current time, epoch milliseconds
     * @return what to do
     */
    public Claim claim(Ticket ticket, long nowMs) {
        if (!ticket.owner().equals(self)) {
            return new Claim.Elsewhere(ticket.owner());
        }
        if (!ticket.incarnation().equals(incarnation)) {
            return known(RefusalType.OWNER_RESTARTED, "instance " + self + " has restarted since key " + ticket.key());
        }
        if (forgotten(ticket, advance(nowMs))) {
            return forgotten(ticket);
        }
        Permit known = permits.get(ticket.key());
        return known != null ? known.claim() : reserve(ticket);
    }

    /**
     * Tells whether tickets may be given out.
     *
     * @return whether there is room for the keys to come
     */
    public boolean hasRoom() {
        return size.get() < limits.maxKeys() - limits.maxKeys() / 4;
    }

    /**
     * Forgets the keys whose deadline and slack are over.
     *
     * @param nowMs current time, epoch milliseconds
     */
    public void expire(long nowMs) {
        long atMs = advance(nowMs);
        for (Permit permit : permits.values()) {
            Optional<Outcome> kept = permit.kept();
            if (kept.isEmpty() || !forgotten(permit.ticket(), atMs)) {
                continue;
            }
            if (permits.remove(permit.ticket().key(), permit)) {
                size.decrementAndGet();
                release(kept.get());
            }
        }
    }

    /**
     * Returns the number of keys remembered.
     *
     * @return number of keys
     */
    public long size() {
        return size.get();
    }

    /**
     * Returns the size of the answers kept.
     *
     * @return bytes
     */
    public long answerBytes() {
        return answerBytes.get();
    }

    /** Never lets time run backwards: a key once too old stays so. */
    long advance(long nowMs) {
        return latestMs.accumulateAndGet(nowMs, Math::max);
    }

    /** Replaces an answer that is too large to keep by a refusal that says the call ran. */
    Outcome compact(Outcome outcome) {
        if (!(outcome instanceof Outcome.Ran ran)) {
            return outcome;
        }
        int bytes = ran.answer().size();
        boolean fits = bytes <= limits.maxAnswerBytes() && takeBytes(bytes);
        return fits
                ? outcome
                : new Outcome.FailedAfterRunning(Refusal.of(
                        RefusalType.ANSWER_CUT,
                        "the call ran; its answer of " + bytes + " bytes is no longer kept",
                        Fate.RAN));
    }

    void release(Outcome kept) {
        if (kept instanceof Outcome.Ran ran) {
            answerBytes.addAndGet(-ran.answer().size());
        }
    }

    private boolean takeBytes(int bytes) {
        if (answerBytes.addAndGet(bytes) <= limits.maxTotalBytes()) {
            return true;
        }
        answerBytes.addAndGet(-bytes);
        return false;
    }

    private Claim reserve(Ticket ticket) {
        if (size.incrementAndGet() > limits.maxKeys()) {
            size.decrementAndGet();
            return known(RefusalType.OVERLOADED, "instance " + self + " remembers no more keys; resend later");
        }
        Permit fresh = new Permit(ticket, this);
        Permit other = permits.putIfAbsent(ticket.key(), fresh);
        if (other != null) {
            size.decrementAndGet();
            return other.claim();
        }
        return admit(ticket, fresh);
    }

    private Claim admit(Ticket ticket, Permit fresh) {
        long atMs = latestMs.get();
        if (forgotten(ticket, atMs)) {
            fresh.finish(
                    unknownOutcome(RefusalType.TICKET_EXPIRED, "key " + ticket.key() + " is no longer remembered"));
            return fresh.claim();
        }
        return atMs < ticket.deadlineMs() ? new Claim.Run(fresh) : new Claim.Known(fresh.seal());
    }

    private boolean forgotten(Ticket ticket, long atMs) {
        return ticket.deadlineMs() + limits.slackMs() <= atMs;
    }

    private static Claim forgotten(Ticket ticket) {
        return known(RefusalType.TICKET_EXPIRED, "key " + ticket.key() + " is no longer remembered");
    }

    private static Claim known(RefusalType type, String message) {
        return new Claim.Known(unknownOutcome(type, message));
    }

    private static Outcome unknownOutcome(RefusalType type, String message) {
        return new Outcome.Unknown(Refusal.of(type, message, Fate.UNKNOWN));
    }
}
