package org.ibissaddle.placement;

import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.note.ReleaseNote;

/** Decides where requests are served. Pure but for the outstanding work that the implementation is told of. */
public interface PlacementPolicy {
    /**
     * Decides where a request is served.
     *
     * @param work the request
     * @param note the note in force
     * @param fleet current beliefs
     * @param nowMs current time, epoch milliseconds
     * @param random source of random numbers
     * @return the decision
     */
    Placement place(Work work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random);

    /**
     * Notes that a request was given to a server or peer, until the returned handle is closed.
     *
     * @param work the request
     * @param placement where it was given to
     * @param nowMs current time, epoch milliseconds
     * @return handle for progress and the end of the work
     */
    Running started(Work work, Placement placement, long nowMs);

    /** Work in progress. */
    interface Running {
        /**
         * Reports the first token of the answer.
         *
         * @param nowMs current time, epoch milliseconds
         */
        void firstToken(long nowMs);

        /**
         * Reports tokens that have arrived.
         *
         * @param tokens number of tokens since the last report
         */
        void generated(int tokens);

        /**
         * Reports the end of the work, whatever it was.
         *
         * @param succeeded whether the server did what it should
         * @param nowMs current time, epoch milliseconds
         */
        void ended(boolean succeeded, long nowMs);
    }
}
