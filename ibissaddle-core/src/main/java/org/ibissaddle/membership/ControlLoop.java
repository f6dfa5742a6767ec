package org.ibissaddle.membership;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.id.Address;
import org.ibissaddle.internal.membership.Loop;
import org.ibissaddle.note.NoteLedger;

/**
 * Keeps the note and the beliefs of one instance up to date: reads the platform, exchanges messages with peers, asks
 * servers for their load. A state machine for one thread; the adapter does what it asks for and tells it what came of
 * it.
 *
 * <pre>{@code
 * ControlLoop loop = ControlLoop.create(self, seeds, random, nowMs);
 * for (Action action : loop.handle(new Event.Tick(), nowMs)) {
 *     perform(action);                       // its outcome is handled in turn
 * }
 * state.believe(loop.view(nowMs));
 * }</pre>
 */
public interface ControlLoop {
    /** Longest time between two ticks, milliseconds. */
    long TICK_MS = 100;

    /** Beliefs older than this must be refreshed before a request is dispatched, milliseconds. */
    long MAX_VIEW_AGE_MS = 2_000;

    /**
     * Creates the loop of a starting instance.
     *
     * @param self the instance
     * @param seeds control addresses of other instances from the settings
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     * @return the loop
     */
    static ControlLoop create(Self self, List<Address> seeds, RandomGenerator random, long nowMs) {
        return new Loop(self, seeds, random, nowMs);
    }

    /**
     * Takes in an event.
     *
     * @param event what happened
     * @param nowMs current time, epoch milliseconds
     * @return what to do
     */
    List<Action> handle(Event event, long nowMs);

    /**
     * Answers a peer's message.
     *
     * @param gossip the message
     * @param nowMs current time, epoch milliseconds
     * @return the answer
     */
    Gossip answer(Gossip gossip, long nowMs);

    /**
     * Answers a peer that asks for the note.
     *
     * @param request the question
     * @return the answer
     */
    NoteAnswer answer(NoteRequest request);

    /**
     * Answers a peer that asks for the list.
     *
     * @param request the question
     * @param nowMs current time, epoch milliseconds
     * @return the answer
     */
    ListAnswer answer(ListRequest request, long nowMs);

    /**
     * Tells whether callers may be served: a note is held, and since the start the platform and peers have been asked
     * for a newer one.
     *
     * @return whether the instance is ready
     */
    boolean ready();

    /**
     * Tells whether the beliefs must be refreshed before a request is dispatched, because the process was paused.
     *
     * @param view the beliefs
     * @param nowMs current time, epoch milliseconds
     * @return whether they are too old
     */
    static boolean outdated(FleetView view, long nowMs) {
        return nowMs - view.refreshedAtMs() > MAX_VIEW_AGE_MS;
    }

    /**
     * Returns the note ledger, for reading.
     *
     * @return the ledger
     */
    NoteLedger notes();

    /**
     * Returns the newest list.
     *
     * @return the list, empty before the first
     */
    Optional<FleetList> list();

    /**
     * Takes a snapshot of the beliefs.
     *
     * @param nowMs current time, epoch milliseconds
     * @return the snapshot
     */
    FleetView view(long nowMs);
}
