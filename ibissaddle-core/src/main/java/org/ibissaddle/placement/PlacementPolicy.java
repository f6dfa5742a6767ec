package org.ibissaddle.placement;

import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.note.ReleaseNote;

/**
 * Decides where requests are served. Decisions depend only on the arguments and on the state that an implementation
 * derives from what is reported to it, such as outstanding work.
 */
public interface PlacementPolicy {
    /**
     * Decides where a request is served.
     *
     * @param request the request
     * @param note the release note in force
     * @param fleet current view of the fleet
     * @param nowMs current time, epoch milliseconds
     * @param random source of random numbers
     * @return the decision
     */
    Placement place(PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random);

    /**
     * Records that a request was dispatched to a server or peer. The request counts as outstanding until
     * {@link DispatchHandle#completed} is called on the returned handle.
     *
     * @param request the request
     * @param placement placement of the request
     * @param nowMs current time, epoch milliseconds
     * @return handle for reporting the progress and end of the request
     */
    DispatchHandle recordDispatch(PlacementRequest request, Placement placement, long nowMs);

    /** Handle for a dispatched request. */
    interface DispatchHandle {
        /**
         * Reports the first token of the answer.
         *
         * @param nowMs current time, epoch milliseconds
         */
        void firstToken(long nowMs);

        /**
         * Reports generated tokens.
         *
         * @param tokens number of tokens since the last report
         */
        void generated(int tokens);

        /**
         * Reports the end of the request, whether it succeeded or not.
         *
         * @param succeeded whether the server completed its work correctly
         * @param nowMs current time, epoch milliseconds
         */
        void completed(boolean succeeded, long nowMs);
    }
}
