package org.ibissaddle.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.internal.membership.RendezvousHash;

/** Table of the other instances of the deployment. Not thread-safe; confined to one thread. */
public final class PeerTable {
    /**
     * Age above which a state is stale, in milliseconds: six rounds of messages. The instance is no longer listed as
     * running, and its state is not relayed.
     */
    public static final long STALE_STATE_MS = 3_000;

    /** Age above which a state is ignored on arrival and removed from the table, in milliseconds. */
    private static final long EXPIRY_MS = 60_000;
    /**
     * Time that an instance counts as unreachable after a failed connection, in milliseconds. Messages are still sent
     * to it meanwhile.
     */
    private static final long UNREACHABLE_HOLD_MS = 1_500;

    /** Time after the start in which the table may lack running instances, in milliseconds: six rounds of messages. */
    private static final long DISCOVERY_MS = 3_000;
    /** Number of instances that send requests to the same cold server. One of them may have failed. */
    private static final int SENDERS_PER_COLD_SERVER = 2;

    /** Smoothing factor of the moving average of round-trip times; it averages over about the last five. */
    private static final double ROUND_TRIP_SMOOTHING_FACTOR = 0.2;

    /** Number of instances of other regions to which the instances of a region send in one round. */
    private static final int REMOTE_TARGETS_PER_REGION = 4;

    /** Number of instances of another region among which an instance chooses when it forwards. */
    private static final int REGULAR_TARGETS = 3;

    private final InstanceId self;
    private final Region localRegion;
    private final boolean expectsOthers;
    private final long discoveredAtMs;
    private final Map<InstanceId, PeerEntry> known = new HashMap<>();
    private final Map<Region, Double> roundTripsMs = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param self the local instance, which is never added to the table
     * @param localRegion region of the local instance
     * @param expectsOthers whether the deployment has other instances
     * @param nowMs current time, milliseconds
     */
    public PeerTable(InstanceId self, Region localRegion, boolean expectsOthers, long nowMs) {
        this.self = self;
        this.localRegion = localRegion;
        this.expectsOthers = expectsOthers;
        this.discoveredAtMs = nowMs + DISCOVERY_MS;
    }

    /**
     * Stores a state when it is newer than the stored one of the same instance. A state that the instance sent itself,
     * or that has a new incarnation, also makes the instance reachable again.
     *
     * @param relayed the state with its age, 0 when the instance sent it directly
     * @param nowMs current time, milliseconds
     * @return whether the state was stored
     */
    public boolean update(RelayedState relayed, long nowMs) {
        PeerState state = relayed.state();
        if (state.id().equals(self) || relayed.ageMs() > EXPIRY_MS) {
            return false;
        }
        PeerEntry before = known.get(state.id());
        if (before != null && !state.isNewerThan(before.state)) {
            return false;
        }
        boolean restarted = before == null || before.state.incarnation() != state.incarnation();
        long unreachableUntilMs = restarted || relayed.ageMs() == 0 ? 0 : before.unreachableUntilMs;
        known.put(state.id(), new PeerEntry(state, nowMs - relayed.ageMs(), unreachableUntilMs));
        return true;
    }

    /**
     * Records a round-trip time to a region.
     *
     * @param region the region
     * @param tookMs round-trip time of a message and its answer, milliseconds
     */
    public void recordRoundTrip(Region region, long tookMs) {
        roundTripsMs.merge(
                region,
                (double) tookMs,
                (average, latest) -> average + (latest - average) * ROUND_TRIP_SMOOTHING_FACTOR);
    }

    /**
     * Returns the average round-trip time to a region.
     *
     * @param region the region
     * @return milliseconds, empty until an instance of the region has answered
     */
    public Optional<Double> roundTripMs(Region region) {
        return Optional.ofNullable(roundTripsMs.get(region));
    }

    /**
     * Records that a connection to an instance failed.
     *
     * @param peer its address for other instances
     * @param nowMs current time, milliseconds
     */
    public void markUnreachable(Address peer, long nowMs) {
        known.replaceAll((id, entry) -> entry.state.peerAddress().equals(peer)
                ? new PeerEntry(entry.state, entry.reportedAtMs, nowMs + UNREACHABLE_HOLD_MS)
                : entry);
    }

    /**
     * Records that an instance refused a request. The instance counts as having no free slots for the service until a
     * newer state of it arrives.
     *
     * @param peer its address for other instances
     * @param service the service
     */
    public void recordRefusal(Address peer, String service) {
        known.replaceAll((id, entry) -> {
            ServiceLoad load = entry.state.services().get(service);
            if (!entry.state.peerAddress().equals(peer) || load == null) {
                return entry;
            }
            return new PeerEntry(
                    entry.state.withLoad(service, new ServiceLoad(0, load.waitMs())),
                    entry.reportedAtMs,
                    entry.unreachableUntilMs);
        });
    }

    /**
     * Removes expired entries and returns the instances that are presumably running.
     *
     * @param nowMs current time, milliseconds
     * @return their states, ordered by instance id
     */
    public List<PeerState> alive(long nowMs) {
        known.values().removeIf(entry -> nowMs - entry.reportedAtMs > EXPIRY_MS);
        List<PeerState> alive = new ArrayList<>();
        for (PeerEntry entry : known.values()) {
            if (nowMs - entry.reportedAtMs <= STALE_STATE_MS && nowMs >= entry.unreachableUntilMs) {
                alive.add(entry.state);
            }
        }
        alive.sort(Comparator.comparing(PeerState::id));
        return alive;
    }

    /**
     * Returns the size of the deployment, including instances that are down but have not expired: the highest count of
     * the local instance and those that it knows, since it may have started a short time ago.
     *
     * @param nowMs current time, milliseconds
     * @return number of instances, including the local one; empty while the local instance may not know all others
     */
    public OptionalInt deploymentSize(long nowMs) {
        if (isDiscovering(nowMs)) {
            return OptionalInt.empty();
        }
        int reported = known.values().stream()
                .mapToInt(entry -> entry.state.knownInstances())
                .max()
                .orElse(0);
        return OptionalInt.of(Math.max(reported, knownInstances()));
    }

    /** Returns the number of instances that the local one knows itself, and not from the count of another one. */
    public int knownInstances() {
        return known.size() + 1;
    }

    /** Whether the table may lack instances, because the process has just started or is cut off since its start. */
    private boolean isDiscovering(long nowMs) {
        return nowMs < discoveredAtMs || (expectsOthers && known.isEmpty());
    }

    /**
     * Returns how many instances may send requests to the backend servers of a region.
     *
     * @param region the region
     * @return number of instances: the local one and all known ones of the region
     */
    public int instancesInRegion(Region region) {
        return (int) othersInRegion(region).count() + 1;
    }

    /**
     * Returns the share of the local instance in the request rate of a cold server. The instances with the highest
     * rendezvous hashes share the rate, all others get none: an equal share for each instance of a large region would
     * be less than one request, and requests can't be divided.
     *
     * @param region region of the server, which is also the local one
     * @param server the server
     * @param nowMs current time, milliseconds
     * @return fraction of the rate; 0 while the local instance may not know all others yet
     */
    public double coldRateShare(Region region, ServerId server, long nowMs) {
        if (isDiscovering(nowMs)) {
            return 0;
        }
        List<InstanceId> others = othersInRegion(region).toList();
        int senders = Math.min(SENDERS_PER_COLD_SERVER, others.size() + 1);
        return RendezvousHash.rank(server.name(), self, others) < senders ? 1.0 / senders : 0;
    }

    /**
     * Returns whether the local instance is the one of several regions that acts for a key.
     *
     * @param key the key
     * @param localRegion region of the local instance
     * @param regions the regions, empty for all
     * @param nowMs current time, milliseconds
     * @return true for one of the instances that know each other; false while the local instance may not know all
     *     others yet
     */
    public boolean isChosenFor(String key, Region localRegion, Set<Region> regions, long nowMs) {
        if (isDiscovering(nowMs) || !(regions.isEmpty() || regions.contains(localRegion))) {
            return false;
        }
        List<InstanceId> others = alive(nowMs).stream()
                .filter(state -> regions.isEmpty() || regions.contains(state.region()))
                .map(PeerState::id)
                .toList();
        return RendezvousHash.rank(key, self, others) == 0;
    }

    /**
     * Returns the region of an instance.
     *
     * @param peer its address for other instances
     * @return the region, empty if the instance is unknown
     */
    public Optional<Region> regionOf(Address peer) {
        return known.values().stream()
                .map(PeerEntry::state)
                .filter(state -> state.peerAddress().equals(peer))
                .map(PeerState::region)
                .findFirst();
    }

    private Stream<InstanceId> othersInRegion(Region region) {
        return known.values().stream()
                .map(PeerEntry::state)
                .filter(state -> state.region().equals(region))
                .map(PeerState::id);
    }

    /**
     * Selects random recent states to relay with a message. Half of those for another region are states of the local
     * region, which it learns from few others; the rest lets instances of its own region find each other.
     *
     * @param recipientRegion region of the recipient, empty if it is unknown
     * @param limit maximum number of states
     * @param random source of randomness
     * @param nowMs current time, milliseconds
     * @return states with their ages
     */
    public List<RelayedState> statesToRelay(
            Optional<Region> recipientRegion, int limit, RandomGenerator random, long nowMs) {
        List<PeerEntry> shuffled = new ArrayList<>(known.values());
        shuffled.removeIf(entry -> nowMs - entry.reportedAtMs > STALE_STATE_MS);
        Collections.shuffle(shuffled, java.util.Random.from(random));
        List<PeerEntry> selected = new ArrayList<>();
        if (recipientRegion.isPresent() && !recipientRegion.get().equals(localRegion)) {
            shuffled.stream()
                    .filter(entry -> entry.state.region().equals(localRegion))
                    .limit(limit / 2)
                    .forEach(selected::add);
        }
        shuffled.removeAll(selected);
        shuffled.stream().limit(limit - selected.size()).forEach(selected::add);
        return selected.stream()
                .map(entry -> new RelayedState(entry.state, nowMs - entry.reportedAtMs))
                .toList();
    }

    /**
     * Selects the addresses to send the next message to. The instances of a region together send a constant number of
     * messages to other regions, so that the traffic between regions does not grow with the deployment.
     *
     * @param seeds addresses from the settings, without the local one
     * @param limit maximum number of known instances
     * @param random source of randomness
     * @return random known instances, and one random seed that is not among the known instances, if any
     */
    public List<Address> targets(Collection<Address> seeds, int limit, RandomGenerator random) {
        List<Address> local = new ArrayList<>();
        List<Address> remote = new ArrayList<>();
        known.values()
                .forEach(entry ->
                        (entry.state.region().equals(localRegion) ? local : remote).add(entry.state.peerAddress()));
        Collections.shuffle(local, java.util.Random.from(random));
        Collections.shuffle(remote, java.util.Random.from(random));
        double remoteShare = (double) REMOTE_TARGETS_PER_REGION / (local.size() + 1);
        int remoteTargets = Math.min(Math.min(limit, remote.size()), (int) (remoteShare + random.nextDouble()));
        List<Address> targets = new ArrayList<>(remote.subList(0, remoteTargets));
        targets.addAll(local.subList(0, Math.min(limit - remoteTargets, local.size())));
        List<Address> unknownSeeds = seeds.stream()
                .filter(seed -> !local.contains(seed) && !remote.contains(seed))
                .toList();
        if (!unknownSeeds.isEmpty()) {
            targets.add(unknownSeeds.get(random.nextInt(unknownSeeds.size())));
        }
        return targets;
    }

    /**
     * Selects the instance of another region to forward a request to: one of those to which the local instance forwards
     * regularly, in the region with the shortest predicted wait. The few regular targets differ from instance to
     * instance, so that a region's requests spread over all instances of another one, and connections to them are
     * reused.
     *
     * @param service the service
     * @param allowed regions that may serve the request; empty when all may
     * @param localRegion the local region, which is excluded
     * @param tried instances to which the request was already sent
     * @param nowMs current time, milliseconds
     * @return the ready instance with the shortest predicted wait among the regular targets; empty when there is none
     */
    public Optional<PeerState> bestRemotePeer(
            String service, Set<Region> allowed, Region localRegion, Set<Address> tried, long nowMs) {
        List<PeerState> remote = alive(nowMs).stream()
                .filter(PeerState::ready)
                .filter(state -> !state.region().equals(localRegion))
                .filter(state -> allowed.isEmpty() || allowed.contains(state.region()))
                .filter(state -> !tried.contains(state.peerAddress()))
                .filter(state -> state.services().containsKey(service))
                .toList();
        List<PeerState> withRoom = remote.stream()
                .filter(state -> state.services().get(service).freeSlots() > 0)
                .toList();
        return regularTarget(service, withRoom.isEmpty() ? remote : withRoom);
    }

    private Optional<PeerState> regularTarget(String service, List<PeerState> candidates) {
        Optional<Region> region = candidates.stream()
                .collect(Collectors.groupingBy(
                        PeerState::region,
                        Collectors.averagingLong(
                                state -> state.services().get(service).waitMs())))
                .entrySet()
                .stream()
                .min(Map.Entry.<Region, Double>comparingByValue()
                        .thenComparing(entry -> entry.getKey().name()))
                .map(Map.Entry::getKey);
        List<PeerState> inRegion = candidates.stream()
                .filter(state -> region.equals(Optional.of(state.region())))
                .toList();
        Set<InstanceId> regular = RendezvousHash.first(
                self.name(), inRegion.stream().map(PeerState::id).toList(), REGULAR_TARGETS);
        return inRegion.stream()
                .filter(state -> regular.contains(state.id()))
                .min(Comparator.comparingLong((PeerState state) ->
                                state.services().get(service).waitMs())
                        .thenComparing(state -> state.services().get(service).freeSlots(), Comparator.reverseOrder()));
    }

    private record PeerEntry(PeerState state, long reportedAtMs, long unreachableUntilMs) {}
}
