package org.ibissaddle.daemon.peer;

import java.util.Optional;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.note.ReleaseNote;

/** Publishes the release note and the fleet view of a control loop to the path of requests. */
final class StatePublisher {
    private static final long MIN_VIEW_INTERVAL_MS = ControlLoop.TICK_MS / 2;

    private final SharedState state;
    private long viewPublishedAtMs;

    StatePublisher(SharedState state) {
        this.state = state;
    }

    /** Publishes the view at intervals, and with each note that comes into force. */
    void publish(ControlLoop loop, long nowMs) {
        Optional<ReleaseNote> newNote = newNote(loop);
        // Requests are accepted as soon as a note is active, so the servers it needs are published first.
        if (newNote.isPresent() || Math.abs(nowMs - viewPublishedAtMs) >= MIN_VIEW_INTERVAL_MS) {
            viewPublishedAtMs = nowMs;
            state.replaceNoteStatus(loop.notes().status(nowMs));
            state.replaceFleet(loop.view(nowMs));
        }
        newNote.ifPresent(state::activateNote);
    }

    private Optional<ReleaseNote> newNote(ControlLoop loop) {
        if (!loop.isReady()) {
            return Optional.empty();
        }
        return loop.notes().inForce().filter(note -> !state.note().equals(Optional.of(note)));
    }
}
