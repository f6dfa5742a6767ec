package org.ibissaddle.membership;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.Address;
import org.ibissaddle.internal.membership.DefaultControlLoop;
import org.ibissaddle.note.NoteLedger;

/**
 * Keeps the release note and the membership view of an instance up to date: reads the platform, exchanges messages with
 * peers and polls backend servers for their load. A state machine without I/O, confined to one thread; the adapter
 * performs the returned actions and passes their outcomes back as events.
 *
 * <pre>{@code
 * ControlLoop loop = ControlLoop.create(self, seeds, random, nowMs);
 * for (ControlLoopAction action : loop.handle(new ControlLoopEvent.Tick(), nowMs)) {
 *     perform(action);                       // its outcome is passed to handle()
 * }
 * state.replaceFleet(loop.view(nowMs));
 * }</pre>
 */
public interface ControlLoop {
    /** Maximum time between two ticks, in milliseconds. */
    long TICK_MS = 100;

    /** Maximum age of the membership view at which requests may be dispatched without a refresh, in milliseconds. */
    long MAX_VIEW_AGE_MS = 2_000;

    /**
     * Creates the control loop of a starting instance.
     *
     * @param self the local instance
     * @param seeds control addresses of other instances from the settings
     * @param random source of randomness
     * @param nowMs current time, epoch milliseconds
     * @return the loop
     */
    static ControlLoop create(LocalInstance self, List<Address> seeds, RandomGenerator random, long nowMs) {
        return new DefaultControlLoop(self, seeds, random, nowMs);
    }

    /**
     * Processes an event.
     *
     * @param event the event
     * @param nowMs current time, epoch milliseconds
     * @return actions for the adapter to perform
     */
    List<ControlLoopAction> handle(ControlLoopEvent event, long nowMs);

    /**
     * Answers a gossip message of a peer.
     *
     * @param gossip the message
     * @param nowMs current time, epoch milliseconds
     * @return the answer
     */
    Gossip answer(Gossip gossip, long nowMs);

    /**
     * Answers a request for the release note.
     *
     * @param request the request
     * @return the answer
     */
    NoteAnswer answer(NoteRequest request);

    /**
     * Answers a request for the fleet list.
     *
     * @param request the request
     * @param nowMs current time, epoch milliseconds
     * @return the answer
     */
    ListAnswer answer(ListRequest request, long nowMs);

    /**
     * Returns whether requests of callers may be served: the instance holds a release note and has queried the platform
     * and peers for a newer one since its start.
     *
     * @return whether the instance is ready
     */
    boolean isReady();

    /**
     * Returns whether the membership view must be refreshed before a request is dispatched, because the process was
     * paused.
     *
     * @param view the membership view
     * @param nowMs current time, epoch milliseconds
     * @return whether the view is too old
     */
    static boolean isOutdated(FleetView view, long nowMs) {
        return nowMs - view.refreshedAtMs() > MAX_VIEW_AGE_MS;
    }

    /**
     * Returns the release note ledger, for read access.
     *
     * @return the ledger
     */
    NoteLedger notes();

    /**
     * Returns the newest fleet list.
     *
     * @return the list, empty until the first one is received
     */
    Optional<FleetList> list();

    /**
     * Returns a snapshot of the membership view.
     *
     * @param nowMs current time, epoch milliseconds
     * @return the snapshot
     */
    FleetView view(long nowMs);
}
