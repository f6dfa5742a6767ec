package org.ibissaddle.internal.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.id.ServerId;

/** Outlier ejection for one pool: failing servers temporarily receive no work, up to a maximum number of servers. */
final class Ejections {
    private static final int MAX_DOUBLINGS = 4;

    private final AtomicReference<Map<ServerId, Ejection>> ejected = new AtomicReference<>(Map.of());

    private record Ejection(long untilMs, int doublings) {}

    /** Returns whether a server is ejected. */
    boolean isEjected(ServerId id, long nowMs) {
        Map<ServerId, Ejection> current = ejected.get();
        if (current.isEmpty()) {
            return false;
        }
        Ejection ejection = current.get(id);
        return ejection != null && ejection.untilMs > nowMs;
    }

    /** Returns the number of ejected servers. */
    int count(long nowMs) {
        int count = 0;
        for (Ejection ejection : ejected.get().values()) {
            if (ejection.untilMs > nowMs) {
                count++;
            }
        }
        return count;
    }

    /**
     * Ejects a server unless the maximum number of servers is already ejected. The set is replaced by compare-and-set
     * so that concurrent calls can't exceed the maximum.
     *
     * @return whether the server was ejected
     */
    boolean eject(ServerId id, long nowMs, long ejectMs, int maxEjected) {
        while (true) {
            Map<ServerId, Ejection> current = ejected.get();
            Map<ServerId, Ejection> next = new HashMap<>();
            int otherActive = 0;
            for (Map.Entry<ServerId, Ejection> entry : current.entrySet()) {
                boolean active = entry.getValue().untilMs > nowMs;
                otherActive += active && !entry.getKey().equals(id) ? 1 : 0;
                boolean remembered = entry.getValue().untilMs + (ejectMs << MAX_DOUBLINGS) > nowMs;
                if (remembered) {
                    next.put(entry.getKey(), entry.getValue());
                }
            }
            if (otherActive >= maxEjected) {
                return false;
            }
            Ejection previous = next.get(id);
            int doublings = previous == null ? 0 : Math.min(MAX_DOUBLINGS, previous.doublings + 1);
            next.put(id, new Ejection(nowMs + (ejectMs << doublings), doublings));
            if (ejected.compareAndSet(current, Map.copyOf(next))) {
                return true;
            }
        }
    }
}
