package org.ibissaddle.membership;

import org.ibissaddle.note.Offered;

/** Something that the adapter shall do for a {@link ControlLoop}; the outcome comes back as an {@link Event}. */
public sealed interface Action {
    /** Send a message to a peer; the outcome is {@link Event.Answered} or {@link Event.Unanswered}. */
    record Exchange(Peer peer, Gossip message) implements Action {}

    /** Ask a server for its load; the outcome is {@link Event.Reported} or {@link Event.Unreachable}. */
    record PollServer(ServerPoll poll) implements Action {}

    /**
     * Read a value of the platform's configuration; the outcome is {@link Event.ValueRead}, {@link Event.Unchanged} or
     * {@link Event.ReadFailed}.
     *
     * @param name name of the value
     * @param afterRevision answer when the revision exceeds this
     * @param untilMs or when this time comes, epoch milliseconds; a past time asks for the present value
     */
    record ReadValue(String name, long afterRevision, long untilMs) implements Action {}

    /**
     * Read the platform's list; the outcome is {@link Event.ListRead}, {@link Event.Unchanged} or
     * {@link Event.ReadFailed}.
     *
     * @param afterRevision answer when the revision exceeds this
     * @param untilMs or when this time comes, epoch milliseconds
     */
    record ReadList(long afterRevision, long untilMs) implements Action {}

    /** Ask a peer for its note; the outcome is {@link Event.NoteAnswered} or {@link Event.Unanswered}. */
    record AskNote(Peer peer, NoteRequest request) implements Action {}

    /** Ask a peer for its list; the outcome is {@link Event.ListAnswered} or {@link Event.Unanswered}. */
    record AskList(Peer peer, ListRequest request) implements Action {}

    /** Log what became of a note; when it was accepted, put it in force. */
    record Announce(Offered outcome) implements Action {}
}
