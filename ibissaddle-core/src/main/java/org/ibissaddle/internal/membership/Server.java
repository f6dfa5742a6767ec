package org.ibissaddle.internal.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.membership.ListEntry;

/** One backend server of the own region as it is believed to be. */
final class Server {
    private static final long DOUBT_MS = 15_000;
    private static final int DOUBTERS = 2;

    final ServerId id;
    ListEntry entry;
    Incarnation incarnation;
    Set<ModelId> models = Set.of();
    Set<AdapterId> adapters = Set.of();
    ServerLoad load = ServerLoad.NONE;
    boolean leaving;
    boolean dropped;
    long droppedAtMs;
    long answeredAtMs = Long.MIN_VALUE / 2;
    long toldAtMs = Long.MIN_VALUE / 2;
    long loadToldAtMs = Long.MIN_VALUE / 2;
    long pollAtMs;
    boolean polling;
    private final Map<InstanceId, Long> doubts = new HashMap<>();

    Server(ServerId id, ListEntry entry) {
        this.id = id;
        this.entry = entry;
    }

    /** Enters an incarnation if it is newer; a leaving mark holds within one incarnation only. */
    boolean enter(Incarnation next) {
        if (next == null || (incarnation != null && next.compareTo(incarnation) <= 0)) {
            return false;
        }
        if (incarnation != null) {
            leaving = false;
            models = Set.of();
            adapters = Set.of();
        }
        incarnation = next;
        return true;
    }

    /** Tells whether something of an older incarnation speaks, which says nothing of the present one. */
    boolean outdated(Incarnation other) {
        return other != null && incarnation != null && other.compareTo(incarnation) < 0;
    }

    void answered(long atMs) {
        answeredAtMs = Math.max(answeredAtMs, atMs);
        doubts.values().removeIf(at -> at <= answeredAtMs);
    }

    /** Records a doubt; tells whether others should hear of it. */
    boolean doubt(InstanceId by, long atMs) {
        if (atMs <= answeredAtMs) {
            return false;
        }
        Long known = doubts.get(by);
        if (known != null && atMs - known < DOUBT_MS / 2) {
            return false;
        }
        doubts.put(by, atMs);
        return true;
    }

    boolean doubted(InstanceId self, long nowMs) {
        doubts.values().removeIf(at -> nowMs - at > DOUBT_MS);
        return doubts.containsKey(self) || doubts.size() >= DOUBTERS;
    }

    boolean doubtedByOthers(InstanceId self) {
        return doubts.size() > (doubts.containsKey(self) ? 1 : 0);
    }

    /** Tells whether it ever said anything, to whomever. */
    boolean heard() {
        return answeredAtMs > 0;
    }

    boolean leaves() {
        return leaving || entry.leaving() || dropped;
    }

    Health health(InstanceId self, long nowMs) {
        if (leaves()) {
            return Health.LEAVING;
        }
        return doubted(self, nowMs) ? Health.SUSPECT : Health.LIVE;
    }

    ServerView view(InstanceId self, ServerLoad shown, long nowMs) {
        return new ServerView(
                id,
                Optional.ofNullable(incarnation),
                entry.pool().orElseThrow(),
                entry.region(),
                entry.zone(),
                entry.address(),
                health(self, nowMs),
                models,
                shown,
                adapters);
    }
}
