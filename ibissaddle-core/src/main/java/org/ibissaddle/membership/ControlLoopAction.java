package org.ibissaddle.membership;

import org.ibissaddle.note.NoteOfferResult;

/**
 * I/O operation that a {@link ControlLoop} requests from its adapter; the adapter returns the outcome as a
 * {@link ControlLoopEvent}.
 */
public sealed interface ControlLoopAction {
    /**
     * Sends a gossip message to a peer; the outcome is {@link ControlLoopEvent.Answered} or
     * {@link ControlLoopEvent.Unanswered}.
     */
    record Exchange(Peer peer, Gossip message) implements ControlLoopAction {}

    /**
     * Requests the load of a backend server; the outcome is {@link ControlLoopEvent.Reported} or
     * {@link ControlLoopEvent.Unreachable}.
     */
    record PollServer(ServerPoll poll) implements ControlLoopAction {}

    /**
     * Reads a value of the platform's configuration; the outcome is {@link ControlLoopEvent.ValueRead},
     * {@link ControlLoopEvent.Unchanged} or {@link ControlLoopEvent.ReadFailed}.
     *
     * @param name name of the value
     * @param afterRevision the read returns when the revision exceeds this one
     * @param untilMs deadline of the read, epoch milliseconds; a past time reads the current value without waiting
     */
    record ReadValue(String name, long afterRevision, long untilMs) implements ControlLoopAction {}

    /**
     * Reads the platform's fleet list; the outcome is {@link ControlLoopEvent.ListRead},
     * {@link ControlLoopEvent.Unchanged} or {@link ControlLoopEvent.ReadFailed}.
     *
     * @param afterRevision the read returns when the revision exceeds this one
     * @param untilMs deadline of the read, epoch milliseconds
     */
    record ReadList(long afterRevision, long untilMs) implements ControlLoopAction {}

    /**
     * Requests the release note of a peer; the outcome is {@link ControlLoopEvent.NoteAnswered} or
     * {@link ControlLoopEvent.Unanswered}.
     */
    record RequestNote(Peer peer, NoteRequest request) implements ControlLoopAction {}

    /**
     * Requests the fleet list of a peer; the outcome is {@link ControlLoopEvent.ListAnswered} or
     * {@link ControlLoopEvent.Unanswered}.
     */
    record RequestList(Peer peer, ListRequest request) implements ControlLoopAction {}

    /** Logs the outcome of offering a release note to the ledger; an accepted note is also applied. */
    record ReportNoteOutcome(NoteOfferResult outcome) implements ControlLoopAction {}
}
