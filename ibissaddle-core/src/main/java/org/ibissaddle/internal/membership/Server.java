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

/** State of a backend server in the local region, as known to the local instance. */
final class Server {
    private static final long SUSPICION_LIFETIME_MS = 15_000;
    /** Number of instances whose suspicions together make a server suspect; the local instance suffices alone. */
    private static final int MIN_SUSPECTING_INSTANCES = 2;

    final ServerId id;
    ListEntry entry;
    Incarnation incarnation;
    Set<ModelId> models = Set.of();
    Set<AdapterId> adapters = Set.of();
    /** Whether the models and adapters of the current incarnation are known. */
    boolean residentKnown;

    ServerLoad load = ServerLoad.NONE;
    boolean leaving;
    /** Whether the server was removed from the platform's list and that removal was accepted. */
    boolean unlisted;

    long unlistedAtMs;
    long lastAnsweredAtMs = Long.MIN_VALUE / 2;
    long residentUpdatedAtMs = Long.MIN_VALUE / 2;
    long loadPublishedAtMs = Long.MIN_VALUE / 2;
    long nextPollMs;
    boolean pollInFlight;
    private final Map<InstanceId, Long> suspicions = new HashMap<>();

    Server(ServerId id, ListEntry entry) {
        this.id = id;
        this.entry = entry;
    }

    /** Adopts an incarnation if it is newer, and discards the state of the previous one, such as its leaving flag. */
    boolean adoptIncarnation(Incarnation next) {
        if (next == null || (incarnation != null && next.compareTo(incarnation) <= 0)) {
            return false;
        }
        if (incarnation != null) {
            leaving = false;
            models = Set.of();
            adapters = Set.of();
            residentKnown = false;
        }
        incarnation = next;
        return true;
    }

    /** Returns whether an incarnation is older than the current one, so that its information must be ignored. */
    boolean isOlderIncarnation(Incarnation other) {
        return other != null && incarnation != null && other.compareTo(incarnation) < 0;
    }

    void recordAnswer(long atMs) {
        lastAnsweredAtMs = Math.max(lastAnsweredAtMs, atMs);
        suspicions.values().removeIf(at -> at <= lastAnsweredAtMs);
    }

    /**
     * Records that an instance could not reach this server.
     *
     * @return whether the suspicion is new and should be gossiped
     */
    boolean recordSuspicion(InstanceId by, long atMs) {
        if (atMs <= lastAnsweredAtMs) {
            return false;
        }
        Long known = suspicions.get(by);
        if (known != null && atMs - known < SUSPICION_LIFETIME_MS / 2) {
            return false;
        }
        suspicions.put(by, atMs);
        return true;
    }

    boolean isSuspect(InstanceId self, long nowMs) {
        suspicions.values().removeIf(at -> nowMs - at > SUSPICION_LIFETIME_MS);
        return suspicions.containsKey(self) || suspicions.size() >= MIN_SUSPECTING_INSTANCES;
    }

    boolean suspectedByOthers(InstanceId self) {
        return suspicions.size() > (suspicions.containsKey(self) ? 1 : 0);
    }

    /** Returns whether any instance is known to have received an answer from this server. */
    boolean hasAnswered() {
        return lastAnsweredAtMs > 0;
    }

    boolean isLeaving() {
        return leaving || entry.leaving() || unlisted;
    }

    Health health(InstanceId self, long nowMs) {
        if (isLeaving()) {
            return Health.LEAVING;
        }
        return isSuspect(self, nowMs) ? Health.SUSPECT : Health.LIVE;
    }

    void setResident(Set<ModelId> nextModels, Set<AdapterId> nextAdapters) {
        models = Set.copyOf(nextModels);
        adapters = Set.copyOf(nextAdapters);
        residentKnown = true;
    }

    /** Returns the view of this server; the declared models stand in for its own until these are known. */
    ServerView view(InstanceId self, ServerLoad shown, Set<ModelId> declaredModels, long nowMs) {
        return new ServerView(
                id,
                Optional.ofNullable(incarnation),
                entry.pool().orElseThrow(),
                entry.region(),
                entry.zone(),
                entry.address(),
                health(self, nowMs),
                residentKnown ? models : declaredModels,
                shown,
                adapters);
    }
}
