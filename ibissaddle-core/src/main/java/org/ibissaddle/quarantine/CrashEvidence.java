package org.ibissaddle.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;

/**
 * Decides which lost connections are evidence of a crash of their server. The network loses connections too, and a
 * popular request is in flight at most of these losses. A loss is evidence only if the server is unreachable right
 * after it or restarts within some seconds; otherwise it is forgotten. Not thread-safe; confined to one thread.
 */
public final class CrashEvidence {
    /**
     * Time after a loss in which an unreachable server counts as crashed, milliseconds: two health checks, each with
     * its interval and timeout.
     */
    private static final long UNREACHABLE_WINDOW_MS = 1_500;
    /** Time after a loss in which the next incarnation of a server becomes known, milliseconds. */
    private static final long RESTART_WINDOW_MS = 5_000;
    /** Maximum number of losses that are not decided yet; the oldest are forgotten first. */
    private static final int MAX_LOSSES = 4_096;

    /** In the order in which they were recorded. */
    private final Deque<Loss> undecided = new ArrayDeque<>();

    /**
     * A connection that a server closed while a request was in flight on it.
     *
     * @param crash the crash, if the server has crashed
     * @param promptParts ids of the shared prompt parts of the request
     * @param fingerprint fingerprint of the request
     * @param homes regions that the request is bound to, empty if unbound
     * @param lostMs time of the loss, milliseconds
     */
    public record Loss(Crash crash, List<String> promptParts, String fingerprint, Set<Region> homes, long lostMs) {
        /** Copies the lists. */
        public Loss {
            promptParts = List.copyOf(promptParts);
            homes = Set.copyOf(homes);
        }
    }

    /**
     * Records a lost connection.
     *
     * @param loss the loss
     */
    public void recordLoss(Loss loss) {
        undecided.addLast(loss);
        if (undecided.size() > MAX_LOSSES) {
            undecided.removeFirst();
        }
    }

    /**
     * Records that a server does not answer.
     *
     * @param server the server
     * @param nowMs current time, milliseconds
     * @return the losses that this proves to be crashes
     */
    public List<Loss> serverUnreachable(ServerId server, long nowMs) {
        return take(server, nowMs - UNREACHABLE_WINDOW_MS, nowMs);
    }

    /**
     * Records that a new incarnation of a server has started, or that the server was removed.
     *
     * @param server the server
     * @param nowMs current time, milliseconds
     * @return the losses that this proves to be crashes
     */
    public List<Loss> serverRestarted(ServerId server, long nowMs) {
        return take(server, nowMs - RESTART_WINDOW_MS, nowMs);
    }

    /**
     * Returns whether an unreachable server would count as crashed.
     *
     * @param server the server
     * @param nowMs current time, milliseconds
     * @return true if a loss at the server is so recent
     */
    public boolean awaitsCheck(ServerId server, long nowMs) {
        return undecided.stream()
                .anyMatch(
                        loss -> loss.crash().server().equals(server) && nowMs - loss.lostMs() <= UNREACHABLE_WINDOW_MS);
    }

    /**
     * Returns whether no loss may still prove to be a crash.
     *
     * @param nowMs current time, milliseconds
     * @return true if completed requests need not be compared with lost ones
     */
    public boolean isEmpty(long nowMs) {
        while (!undecided.isEmpty() && isForgotten(undecided.getFirst(), nowMs)) {
            undecided.removeFirst();
        }
        return undecided.isEmpty();
    }

    private List<Loss> take(ServerId server, long earliestMs, long nowMs) {
        List<Loss> proven = new ArrayList<>();
        Iterator<Loss> losses = undecided.iterator();
        while (losses.hasNext()) {
            Loss loss = losses.next();
            boolean isProven = loss.crash().server().equals(server) && loss.lostMs() >= earliestMs;
            if (isProven) {
                proven.add(loss);
            }
            if (isProven || isForgotten(loss, nowMs)) {
                losses.remove();
            }
        }
        return proven;
    }

    private static boolean isForgotten(Loss loss, long nowMs) {
        return nowMs - loss.lostMs() > RESTART_WINDOW_MS;
    }
}
