package org.ibissaddle.backend;

import java.util.OptionalInt;

/**
 * Load that a server reports with a response.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slots maximum number of concurrent requests
 * @param slowdownPercent how long work currently takes on the server's machine, in percent of the usual time; empty if
 *     the server does not report it
 */
public record LoadReport(int running, int waiting, int slots, OptionalInt slowdownPercent) {
    /**
     * Creates a report of a server that does not say how fast it currently is.
     *
     * @param running number of running requests
     * @param waiting number of queued requests
     * @param slots maximum number of concurrent requests
     */
    public LoadReport(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }
}
