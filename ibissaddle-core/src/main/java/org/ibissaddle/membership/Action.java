package org.ibissaddle.membership;

import org.ibissaddle.note.Offered;

/**
 * I/O operation that a {@link ControlLoop} requests from its adapter; the adapter returns the outcome as an
 * {@link Event}.
 */
public sealed interface Action {
    /** Sends a gossip message to a peer; the outcome is {@link Event.Answered} or {@link Event.Unanswered}. */
    record Exchange(Peer peer, Gossip message) implements Action {}

    /** Requests the load of a backend server; the outcome is {@link Event.Reported} or {@link Event.Unreachable}. */
    record PollServer(ServerPoll poll) implements Action {}

    /**
     * Reads a value of the platform's configuration; the outcome is {@link Event.ValueRead}, {@link Event.Unchanged} or
     * {@link Event.ReadFailed}.
     *
     * @param name name of the value
     * @param afterRevision the read returns when the revision exceeds this one
     * @param untilMs deadline of the read, epoch milliseconds; a past time reads the current value without waiting
     */
    record ReadValue(String name, long afterRevision, long untilMs) implements Action {}

    /**
     * Reads the platform's fleet list; the outcome is {@link Event.ListRead}, {@link Event.Unchanged} or
     * {@link Event.ReadFailed}.
     *
     * @param afterRevision the read returns when the revision exceeds this one
     * @param untilMs deadline of the read, epoch milliseconds
     */
    record ReadList(long afterRevision, long untilMs) implements Action {}

    /** Requests the release note of a peer; the outcome is {@link Event.NoteAnswered} or {@link Event.Unanswered}. */
    record AskNote(Peer peer, NoteRequest request) implements Action {}

    /** Requests the fleet list of a peer; the outcome is {@link Event.ListAnswered} or {@link Event.Unanswered}. */
    record AskList(Peer peer, ListRequest request) implements Action {}

    /** Logs the outcome of offering a release note to the ledger; an accepted note is also applied. */
    record Announce(Offered outcome) implements Action {}
}
