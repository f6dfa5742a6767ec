package org.ibissaddle.daemon.stream;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.id.ServerId;

/** Lets at most one marked request run at each engine, so that the next crash tells which one it was. */
final class ApartGate {
    private final Map<ServerId, Object> running = new ConcurrentHashMap<>();

    /** Engines that already run a marked request. */
    Set<ServerId> busy() {
        return new HashSet<>(running.keySet());
    }

    /** Takes an engine for a marked request; fails when another one has it. */
    boolean enter(ServerId server, Object request) {
        return running.putIfAbsent(server, request) == null;
    }

    /** Gives an engine back. */
    void leave(ServerId server, Object request) {
        running.remove(server, request);
    }
}
