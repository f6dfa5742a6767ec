package org.ibissaddle.daemon.state;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.note.ReleaseNote;

/** The note in force and the beliefs of one instance. Each is an immutable snapshot that is replaced as a whole. */
public final class SharedState {
    private final AtomicReference<Optional<ReleaseNote>> note = new AtomicReference<>(Optional.empty());
    private final AtomicReference<FleetView> fleet;
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Starts without a note.
     *
     * @param fleet first beliefs
     */
    public SharedState(FleetView fleet) {
        this.fleet = new AtomicReference<>(fleet);
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
        fleet.set(next);
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
        draining.set(true);
    }
}
