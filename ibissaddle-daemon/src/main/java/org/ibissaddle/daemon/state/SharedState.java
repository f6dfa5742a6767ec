package org.ibissaddle.daemon.state;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.daemon.timeline.Recorder;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.timeline.Event;

/** The note in force and the beliefs of one instance. Each is an immutable snapshot that is replaced as a whole. */
public final class SharedState {
    private final AtomicReference<Optional<ReleaseNote>> note = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Optional<NoteStatus>> noteStatus = new AtomicReference<>(Optional.empty());
    private final AtomicReference<FleetView> fleet;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final Recorder recorder;
    private final ServerObservations observations = new ServerObservations();

    /**
     * Starts without a note.
     *
     * @param fleet first beliefs
     * @param recorder records changes for the time line
     */
    public SharedState(FleetView fleet, Recorder recorder) {
        this.fleet = new AtomicReference<>(fleet);
        this.recorder = recorder;
    }

    /**
     * Returns where requests report what they see of backend servers.
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
    public Recorder recorder() {
        return recorder;
    }

    /**
     * Returns the note in force.
     *
     * @return the note, empty before the first one was accepted
     */
    public Optional<ReleaseNote> note() {
        return note.get();
    }

    /**
     * Puts a note in force.
     *
     * @param next a note that the ledger accepted
     */
    public void putInForce(ReleaseNote next) {
        note.set(Optional.of(next));
        recorder.record(new Event.NoteInForce(next.number(), next.digest()));
    }

    /**
     * Returns what operators see of the note.
     *
     * @return source, freshness and trouble, empty before the first report
     */
    public Optional<NoteStatus> noteStatus() {
        return noteStatus.get();
    }

    /**
     * Reports on the note.
     *
     * @param status source, freshness and trouble
     */
    public void report(NoteStatus status) {
        noteStatus.set(Optional.of(status));
    }

    /**
     * Returns the current beliefs.
     *
     * @return the snapshot
     */
    public FleetView fleet() {
        return fleet.get();
    }

    /**
     * Replaces the beliefs.
     *
     * @param next the new snapshot
     */
    public void believe(FleetView next) {
        FleetView last = fleet.getAndSet(next);
        HealthChanges.between(last, next).forEach(recorder::record);
    }

    /**
     * Tells whether the instance is leaving.
     *
     * @return whether it drains
     */
    public boolean draining() {
        return draining.get();
    }

    /** Starts to drain; there is no way back. */
    public void drain() {
        if (draining.compareAndSet(false, true)) {
            recorder.record(new Event.Draining());
        }
    }
}
