package org.ibissaddle.internal.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.ibissaddle.id.ServerId;

/** Servers of one pool that get no work for a while because they failed; never more than a share of the pool. */
final class Ejections {
    private static final int MAX_DOUBLINGS = 4;

    private final AtomicReference<Map<ServerId, Ejected>> ejected = new AtomicReference<>(Map.of());

    private record Ejected(long untilMs, int times) {}

    /** Whether a server is ejected. */
    boolean isEjected(ServerId id, long nowMs) {
        Map<ServerId, Ejected> all = ejected.get();
        if (all.isEmpty()) {
            return false;
        }
        Ejected one = all.get(id);
        return one != null && one.untilMs > nowMs;
    }

    /** Counts ejected servers. */
    int count(long nowMs) {
        int n = 0;
        for (Ejected one : ejected.get().values()) {
            if (one.untilMs > nowMs) {
                n++;
            }
        }
        return n;
    }

    /**
     * Ejects a server unless too many are ejected already.
     *
     * @return whether it is ejected now
     */
    boolean eject(ServerId id, long nowMs, long ejectMs, int most) {
        while (true) {
            Map<ServerId, Ejected> old = ejected.get();
            Map<ServerId, Ejected> next = new HashMap<>();
            int others = 0;
            for (Map.Entry<ServerId, Ejected> entry : old.entrySet()) {
                boolean current = entry.getValue().untilMs > nowMs;
                others += current && !entry.getKey().equals(id) ? 1 : 0;
                boolean remembered = entry.getValue().untilMs + (ejectMs << MAX_DOUBLINGS) > nowMs;
                if (remembered) {
                    next.put(entry.getKey(), entry.getValue());
                }
            }
            if (others >= most) {
                return false;
            }
            Ejected before = next.get(id);
            int times = before == null ? 0 : Math.min(MAX_DOUBLINGS, before.times + 1);
            next.put(id, new Ejected(nowMs + (ejectMs << times), times));
            if (ejected.compareAndSet(old, Map.copyOf(next))) {
                return true;
            }
        }
    }
}
