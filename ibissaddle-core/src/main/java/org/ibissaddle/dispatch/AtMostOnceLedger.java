package org.ibissaddle.dispatch;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.ticket.Ticket;

/**
 * Records the calls that this incarnation of an instance must execute at most once. The first call that arrives claims
 * the key. Later calls with that key wait for its outcome, or get the stored outcome until the retention period after
 * the deadline of the ticket ends. Once {@code not-run} has been reported for a key, the key is sealed and never
 * executed.
 */
public final class AtMostOnceLedger {
    private final InstanceId self;
    private final Incarnation incarnation;
    private final AtMostOnceLimits limits;
    private final ConcurrentHashMap<String, Permit> permits = new ConcurrentHashMap<>();
    private final AtomicLong size = new AtomicLong();
    private final AtomicLong answerBytes = new AtomicLong();
    private final AtomicLong clockMs = new AtomicLong(Long.MIN_VALUE);

    /**
     * Creates an empty ledger.
     *
     * @param self this instance
     * @param incarnation its current incarnation
     * @param limits limits of the stored data
     */
    public AtMostOnceLedger(InstanceId self, Incarnation incarnation, AtMostOnceLimits limits) {
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
    }

    /**
     * Claims the key of a call, or returns what is known about it.
     *
     * @param ticket the verified ticket of the call
     * @param nowMs current time, epoch milliseconds
     * @return how to handle the call
     */
    public Claim claim(Ticket ticket, long nowMs) {
        if (!ticket.owner().equals(self)) {
            return new Claim.OwnedElsewhere(ticket.owner());
        }
        if (!ticket.incarnation().equals(incarnation)) {
            return unknownOutcomeClaim(
                    RefusalType.OWNER_RESTARTED,
                    "instance " + self + " has restarted since it issued key " + ticket.key());
        }
        if (isExpired(ticket, advanceClock(nowMs))) {
            return expired(ticket);
        }
        Permit existing = permits.get(ticket.key());
        return existing != null ? existing.claim() : register(ticket);
    }

    /**
     * Returns whether new tickets may be issued.
     *
     * @return whether enough capacity is left for the keys of new tickets
     */
    public boolean hasCapacity() {
        return size.get() < limits.maxKeys() - limits.maxKeys() / 4;
    }

    /**
     * Removes completed keys whose retention period has ended.
     *
     * @param nowMs current time, epoch milliseconds
     */
    public void expire(long nowMs) {
        long ledgerMs = advanceClock(nowMs);
        for (Permit permit : permits.values()) {
            Optional<Outcome> stored = permit.storedOutcome();
            if (stored.isEmpty() || !isExpired(permit.ticket(), ledgerMs)) {
                continue;
            }
            if (permits.remove(permit.ticket().key(), permit)) {
                size.decrementAndGet();
                release(stored.get());
            }
        }
    }

    /**
     * Returns the number of stored keys.
     *
     * @return the number of keys
     */
    public long size() {
        return size.get();
    }

    /**
     * Returns the total size of the stored responses.
     *
     * @return size in bytes
     */
    public long answerBytes() {
        return answerBytes.get();
    }

    /**
     * Advances the monotonic clock of the ledger, so that an expired key stays expired when the system clock is set
     * back.
     */
    long advanceClock(long nowMs) {
        return clockMs.accumulateAndGet(nowMs, Math::max);
    }

    /**
     * Returns the outcome to store. A response that exceeds the limits is replaced by a refusal with execution status
     * {@code ran}.
     */
    Outcome toStored(Outcome outcome) {
        if (!(outcome instanceof Outcome.Ran ran)) {
            return outcome;
        }
        int bytes = ran.answer().size();
        boolean stored = bytes <= limits.maxAnswerBytes() && reserveBytes(bytes);
        return stored
                ? outcome
                : new Outcome.FailedAfterRunning(Refusal.of(
                        RefusalType.ANSWER_CUT,
                        "the call ran, but its response of " + bytes + " bytes does not fit the storage limits of "
                                + limits.maxAnswerBytes() + " bytes per response and " + limits.maxTotalBytes()
                                + " bytes in total",
                        ExecutionStatus.RAN));
    }

    void release(Outcome stored) {
        if (stored instanceof Outcome.Ran ran) {
            answerBytes.addAndGet(-ran.answer().size());
        }
    }

    private boolean reserveBytes(int bytes) {
        if (answerBytes.addAndGet(bytes) <= limits.maxTotalBytes()) {
            return true;
        }
        answerBytes.addAndGet(-bytes);
        return false;
    }

    private Claim register(Ticket ticket) {
        if (size.incrementAndGet() > limits.maxKeys()) {
            size.decrementAndGet();
            return unknownOutcomeClaim(
                    RefusalType.OVERLOADED,
                    "instance " + self + " has reached its limit of " + limits.maxKeys()
                            + " stored keys; resend later");
        }
        Permit permit = new Permit(ticket, this);
        Permit existing = permits.putIfAbsent(ticket.key(), permit);
        if (existing != null) {
            size.decrementAndGet();
            return existing.claim();
        }
        return claimNew(ticket, permit);
    }

    private Claim claimNew(Ticket ticket, Permit permit) {
        long ledgerMs = clockMs.get();
        if (isExpired(ticket, ledgerMs)) {
            permit.complete(unknownOutcome(
                    RefusalType.TICKET_EXPIRED, "key " + ticket.key() + " has expired; no outcome is stored for it"));
            return permit.claim();
        }
        return ledgerMs < ticket.deadlineMs() ? new Claim.Run(permit) : new Claim.Known(permit.seal());
    }

    private boolean isExpired(Ticket ticket, long ledgerMs) {
        return ticket.deadlineMs() + limits.retentionAfterDeadlineMs() <= ledgerMs;
    }

    private static Claim expired(Ticket ticket) {
        return unknownOutcomeClaim(
                RefusalType.TICKET_EXPIRED, "key " + ticket.key() + " has expired; no outcome is stored for it");
    }

    private static Claim unknownOutcomeClaim(RefusalType type, String message) {
        return new Claim.Known(unknownOutcome(type, message));
    }

    private static Outcome unknownOutcome(RefusalType type, String message) {
        return new Outcome.Unknown(Refusal.of(type, message, ExecutionStatus.UNKNOWN));
    }
}
