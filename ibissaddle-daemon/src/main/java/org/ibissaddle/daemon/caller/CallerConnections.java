package org.ibissaddle.daemon.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections of a server, and whether they still accept requests. */
final class CallerConnections {
    private final Set<CallerHandler> open = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    void add(CallerHandler connection) {
        open.add(connection);
    }

    void remove(CallerHandler connection) {
        open.remove(connection);
    }

    /** Returns whether connections accept no further request. */
    boolean areStopped() {
        return stopped;
    }

    /** Closes the connections that wait for a request, and each of the others after its response. */
    void stop() {
        stopped = true;
        open.forEach(CallerHandler::closeIfWaiting);
    }

    boolean areOpen() {
        return !open.isEmpty();
    }
}
