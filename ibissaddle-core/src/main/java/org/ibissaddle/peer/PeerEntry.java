package org.ibissaddle.peer;

/** What the local instance knows of another one; heartbeats advance its sequence number without replacing its state. */
final class PeerEntry {
    /** A time before all others, milliseconds; differences from it don't overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    PeerState state;
    long sequence;
    long reportedAtMs;
    long unreachableUntilMs;
    long changedAtMs;
    long loadsAtMs = NEVER_MS;

    boolean isFresh(long nowMs) {
        return nowMs - reportedAtMs <= PeerTable.STALE_STATE_MS;
    }

    boolean hasHeartbeat(long nowMs) {
        return isFresh(nowMs) && state.version() > 0;
    }

    /** Whether another state of the instance replaces this one. */
    boolean isOlderThan(PeerState other) {
        return other.incarnation() > state.incarnation()
                || (other.incarnation() == state.incarnation() && other.sequence() > sequence);
    }

    /** Whether another state is of the same round of messages. */
    boolean isRepeatedBy(PeerState other) {
        return other.incarnation() == state.incarnation() && other.sequence() == sequence;
    }

    /** An age above 0 tells the state from one that the instance sent itself. */
    RelayedState relayed(long nowMs) {
        return new RelayedState(state, Math.max(1, nowMs - reportedAtMs));
    }

    Heartbeat heartbeat(long nowMs) {
        return new Heartbeat(
                state.id(),
                Heartbeat.tagOf(state.incarnation()),
                state.version(),
                sequence,
                Math.max(1, nowMs - reportedAtMs));
    }
}
