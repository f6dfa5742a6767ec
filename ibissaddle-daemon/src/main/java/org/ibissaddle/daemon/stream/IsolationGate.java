package org.ibissaddle.daemon.stream;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.id.ServerId;

/**
 * Admits at most one request with crash marks per engine, so that the next crash of the engine shows which of the
 * marked requests caused it.
 */
final class IsolationGate {
    private final Map<ServerId, Object> reservations = new ConcurrentHashMap<>();

    /** Returns the engines that are executing a marked request. */
    Set<ServerId> reservedServers() {
        return new HashSet<>(reservations.keySet());
    }

    /** Reserves an engine for a marked request. Returns false if another marked request holds it. */
    boolean tryReserve(ServerId server, Object request) {
        return reservations.putIfAbsent(server, request) == null;
    }

    /** Releases an engine if the request holds it. */
    void release(ServerId server, Object request) {
        reservations.remove(server, request);
    }
}
