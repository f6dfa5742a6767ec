package org.ibissaddle.daemon.state;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.timeline.Event;

/**
 * The active release note and the fleet view of one instance. Each is an immutable snapshot that is replaced as a
 * whole.
 */
public final class SharedState {
    private final AtomicReference<Optional<ReleaseNote>> note = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Optional<NoteStatus>> noteStatus = new AtomicReference<>(Optional.empty());
    private final AtomicReference<FleetView> fleet;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final TimelineRecorder recorder;
    private final ServerObservations observations = new ServerObservations();

    /**
     * Creates the state without a release note.
     *
     * @param fleet initial fleet view
     * @param recorder records changes for the timeline
     */
    public SharedState(FleetView fleet, TimelineRecorder recorder) {
        this.fleet = new AtomicReference<>(fleet);
        this.recorder = recorder;
    }

    /**
     * Returns the sink for what requests observe about backend servers.
     *
     * @return the observations
     */
    public ServerObservations observations() {
        return observations;
    }

    /**
     * Returns the recorder of events.
     *
     * @return the recorder
     */
    public TimelineRecorder recorder() {
        return recorder;
    }

    /**
     * Returns the active release note.
     *
     * @return the release note, empty until the first one is accepted
     */
    public Optional<ReleaseNote> note() {
        return note.get();
    }

    /**
     * Activates a release note.
     *
     * @param next a release note that the note ledger has accepted
     */
    public void activateNote(ReleaseNote next) {
        note.set(Optional.of(next));
        recorder.record(new Event.NoteInForce(next.number(), next.digest()));
    }

    /**
     * Returns the status of the release note, as shown to operators.
     *
     * @return source, freshness and problems, empty before the first update
     */
    public Optional<NoteStatus> noteStatus() {
        return noteStatus.get();
    }

    /**
     * Replaces the status of the release note.
     *
     * @param status source, freshness and problems
     */
    public void replaceNoteStatus(NoteStatus status) {
        noteStatus.set(Optional.of(status));
    }

    /**
     * Returns the current fleet view.
     *
     * @return the snapshot
     */
    public FleetView fleet() {
        return fleet.get();
    }

    /**
     * Replaces the fleet view and records the health changes.
     *
     * @param next the new snapshot
     */
    public void replaceFleet(FleetView next) {
        FleetView previous = fleet.getAndSet(next);
        HealthChanges.between(previous, next).forEach(recorder::record);
    }

    /**
     * Returns whether the instance is draining.
     *
     * @return true once draining has started
     */
    public boolean draining() {
        return draining.get();
    }

    /** Starts draining. This cannot be undone. */
    public void drain() {
        if (draining.compareAndSet(false, true)) {
            recorder.record(new Event.Draining());
        }
    }
}
