package org.ibissaddle.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.internal.membership.RendezvousHash;
import org.ibissaddle.route.HashMixer;

/**
 * Decides whether the local instance reads the platform's store or follows the readers of its availability zone, which
 * pass the changes on. An instance reads when it is one of the first two of the zone by rendezvous hashing, and
 * whenever it cannot be sure of the readers. Not thread-safe; confined to one thread.
 */
public final class StoreReaderElection {
    /** Time without a message of a reader after which an instance reads the store itself, in milliseconds. */
    private static final long SILENCE_MS = 1_500;
    /** Maximum additional time, different for each instance, so that not all call the store at once, milliseconds. */
    private static final long MAX_JITTER_MS = 500;
    /** Number of readers of a zone. One of them may have failed. */
    private static final int READERS = 2;
    /** Size of a zone up to which all instances read: a reader would save at most one of them its calls. */
    private static final int SMALL_ZONE = 3;
    /** Time after the start in which the other instances may be unknown, in milliseconds. */
    private static final long DISCOVERY_MS = PeerTable.STALE_STATE_MS;

    private final InstanceId self;
    private final Zone zone;
    private final String key;
    private final long discoveredAtMs;
    private final long patienceMs;
    private long confirmedAtMs;

    /**
     * Creates the election of an instance that has heard from no reader.
     *
     * @param self the local instance
     * @param zone its availability zone
     * @param nowMs current time, milliseconds
     */
    public StoreReaderElection(InstanceId self, Zone zone, long nowMs) {
        this.self = self;
        this.zone = zone;
        this.key = "store-reader/" + zone.name();
        this.discoveredAtMs = nowMs + DISCOVERY_MS;
        this.patienceMs = SILENCE_MS + Math.floorMod(HashMixer.mix(self.name().hashCode()), MAX_JITTER_MS);
        this.confirmedAtMs = nowMs;
    }

    /**
     * Records that a reader of the zone was heard, and that the local instance knows all that it knows.
     *
     * @param nowMs current time, milliseconds
     */
    public void recordReader(long nowMs) {
        confirmedAtMs = nowMs;
    }

    /**
     * Returns when the local instance last knew all that a reader of the zone knew.
     *
     * @return time in milliseconds
     */
    public long confirmedAtMs() {
        return confirmedAtMs;
    }

    /**
     * Returns whether the local instance reads the store.
     *
     * @param running states of the other running instances
     * @param nowMs current time, milliseconds
     * @return false if it follows the readers of its zone
     */
    public boolean readsStore(Collection<PeerState> running, long nowMs) {
        return nowMs < discoveredAtMs
                || nowMs - confirmedAtMs > patienceMs
                || isSmallZone(running)
                || rank(running) < READERS;
    }

    /**
     * Returns whether other instances of the zone depend on the local one as a reader.
     *
     * @param running states of the other running instances
     * @return true for the first two of a zone that is not small
     */
    public boolean servesZone(Collection<PeerState> running) {
        return !isSmallZone(running) && rank(running) < READERS;
    }

    /**
     * Returns whether the local instance pushes changes to the instances of its zone. Only one does, so that a large
     * configuration reaches each instance once.
     *
     * @param running states of the other running instances
     * @return true for the first one of a zone that is not small
     */
    public boolean pushesChanges(Collection<PeerState> running) {
        return !isSmallZone(running) && rank(running) == 0;
    }

    /**
     * Returns the instances of the zone that read the store.
     *
     * @param running states of the other running instances
     * @return up to two states, ordered by id
     */
    public List<PeerState> readers(Collection<PeerState> running) {
        List<PeerState> reading = running.stream()
                .filter(state -> state.zone().equals(zone) && state.platformReachable())
                .toList();
        List<InstanceId> ids = reading.stream().map(PeerState::id).toList();
        return reading.stream()
                .sorted(Comparator.comparingInt(state -> RendezvousHash.rank(key, state.id(), ids)))
                .limit(READERS)
                .sorted(Comparator.comparing(PeerState::id))
                .toList();
    }

    private boolean isSmallZone(Collection<PeerState> running) {
        int size = 1;
        for (PeerState state : running) {
            size += state.zone().equals(zone) ? 1 : 0;
        }
        return size <= SMALL_ZONE;
    }

    /** Ranks the local instance among those that reach the store or have not tried because they follow a reader. */
    private int rank(Collection<PeerState> running) {
        List<InstanceId> candidates = running.stream()
                .filter(state -> state.zone().equals(zone)
                        && !state.draining()
                        && (state.platformReachable() || state.followsReader()))
                .map(PeerState::id)
                .toList();
        return RendezvousHash.rank(key, self, candidates);
    }
}
