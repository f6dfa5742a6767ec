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
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
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

    /** Maximum number of states of instances of an earlier version in a message. */
    private static final int MAX_EARLIER_STATES = 8;
    /** Maximum number of states in a message. */
    private static final int MAX_STATES = 64;
    /** Time in which a new state is sent to others unasked, in milliseconds: two rounds of messages. */
    private static final long NEWS_MS = 1_000;
    /** Maximum number of new states that are sent unasked in a message. */
    private static final int MAX_NEWS = 8;
    /** Number of loads of each other region that a message within a region relays. */
    private static final int LOADS_PER_REGION = 3;

    /** Number of instances of another region among which an instance chooses when it forwards. */
    private static final int REGULAR_TARGETS = 3;

    private final InstanceId self;
    private final Region localRegion;
    private final Zone localZone;
    private final boolean expectsOthers;
    private final long discoveredAtMs;
    private final SortedMap<InstanceId, PeerEntry> known = new TreeMap<>();
    private final Map<Region, Double> roundTripsMs = new HashMap<>();
    private List<PeerState> alive = List.of();
    /** Time at which the list of running instances has to be computed again. */
    private long aliveUntilMs = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param self the local instance, which is never added to the table
     * @param localRegion region of the local instance
     * @param localZone availability zone of the local instance
     * @param expectsOthers whether the deployment has other instances
     * @param nowMs current time, milliseconds
     */
    public PeerTable(InstanceId self, Region localRegion, Zone localZone, boolean expectsOthers, long nowMs) {
        this.self = self;
        this.localRegion = localRegion;
        this.localZone = localZone;
        this.expectsOthers = expectsOthers;
        this.discoveredAtMs = nowMs + DISCOVERY_MS;
    }

    /**
     * Creates an empty table of an instance in a region that is one availability zone of the same name.
     *
     * @param self the local instance, which is never added to the table
     * @param localRegion region of the local instance
     * @param expectsOthers whether the deployment has other instances
     * @param nowMs current time, milliseconds
     */
    public PeerTable(InstanceId self, Region localRegion, boolean expectsOthers, long nowMs) {
        this(self, localRegion, new Zone(localRegion.name()), expectsOthers, nowMs);
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
        boolean direct = relayed.ageMs() == 0;
        if (state.id().equals(self) || relayed.ageMs() > EXPIRY_MS) {
            return false;
        }
        PeerEntry entry = known.get(state.id());
        if (entry != null && direct && entry.isRepeatedBy(state)) {
            entry.unreachableUntilMs = 0;
            aliveUntilMs = Long.MIN_VALUE;
        }
        if (entry != null && !entry.isOlderThan(state)) {
            return false;
        }
        boolean restarted = entry == null || entry.state.incarnation() != state.incarnation();
        boolean changed = restarted || entry.state.version() != state.version();
        if (entry == null) {
            entry = new PeerEntry();
            known.put(state.id(), entry);
        }
        boolean bringsLoads =
                !state.services().isEmpty() || (direct && !state.region().equals(localRegion));
        if (bringsLoads) {
            entry.loadsAtMs = nowMs - relayed.ageMs();
        }
        entry.state = bringsLoads || entry.state == null ? state : state.withServices(entry.state.services());
        entry.sequence = state.sequence();
        entry.reportedAtMs = nowMs - relayed.ageMs();
        entry.unreachableUntilMs = restarted || direct ? 0 : entry.unreachableUntilMs;
        entry.changedAtMs = changed ? nowMs : entry.changedAtMs;
        aliveUntilMs = Long.MIN_VALUE;
        return true;
    }

    /**
     * Applies what a message tells about instances other than its sender.
     *
     * @param update the contents of the message
     * @param nowMs current time, milliseconds
     */
    public void apply(PeerUpdate update, long nowMs) {
        update.states().forEach(state -> update(state, nowMs));
        update.heartbeats().forEach(heartbeat -> refresh(heartbeat, nowMs));
        update.loads().forEach(load -> updateLoad(load, nowMs));
    }

    /** A heartbeat of another version is ignored: the next response brings the state that belongs to it. */
    private void refresh(Heartbeat heartbeat, long nowMs) {
        PeerEntry entry = known.get(heartbeat.id());
        if (entry == null || !heartbeat.isOfSameState(entry.state) || heartbeat.sequence() <= entry.sequence) {
            return;
        }
        boolean wasFresh = entry.isFresh(nowMs);
        entry.sequence = heartbeat.sequence();
        entry.reportedAtMs = Math.max(entry.reportedAtMs, nowMs - heartbeat.ageMs());
        if (!wasFresh) {
            aliveUntilMs = Long.MIN_VALUE;
        }
    }

    private void updateLoad(RelayedLoad load, long nowMs) {
        PeerEntry entry = known.get(load.id());
        if (entry == null || nowMs - load.ageMs() <= entry.loadsAtMs) {
            return;
        }
        entry.state = entry.state.withServices(load.services());
        entry.loadsAtMs = nowMs - load.ageMs();
        aliveUntilMs = Long.MIN_VALUE;
    }

    /**
     * Returns the contents of a message to another instance: heartbeats of all running instances, and states that have
     * changed recently.
     *
     * @param recipientRegion region of the recipient, empty if it is unknown
     * @param random source of randomness
     * @param nowMs current time, milliseconds
     * @return the contents
     */
    public PeerUpdate request(Optional<Region> recipientRegion, RandomGenerator random, long nowMs) {
        List<RelayedState> states = earlierStates(random, nowMs);
        known.values().stream()
                .filter(entry -> entry.hasHeartbeat(nowMs) && nowMs - entry.changedAtMs <= NEWS_MS)
                .sorted(Comparator.comparingLong((PeerEntry entry) -> entry.changedAtMs)
                        .reversed())
                .limit(MAX_NEWS)
                .forEach(entry -> states.add(entry.relayed(nowMs)));
        List<Heartbeat> heartbeats = new ArrayList<>(known.size());
        for (PeerEntry entry : known.values()) {
            if (entry.hasHeartbeat(nowMs)) {
                heartbeats.add(entry.heartbeat(nowMs));
            }
        }
        return new PeerUpdate(states, heartbeats, loadsFor(recipientRegion, random, nowMs));
    }

    /**
     * Returns the contents of a response: what the sender of the request lacks according to its heartbeats.
     *
     * @param sender sender of the request
     * @param senderRegion its region
     * @param request heartbeats of the request
     * @param random source of randomness
     * @param nowMs current time, milliseconds
     * @return the contents
     */
    public PeerUpdate response(
            InstanceId sender, Region senderRegion, Collection<Heartbeat> request, RandomGenerator random, long nowMs) {
        Map<InstanceId, Heartbeat> theirs = new HashMap<>();
        request.forEach(heartbeat -> theirs.put(heartbeat.id(), heartbeat));
        List<RelayedState> states = earlierStates(random, nowMs);
        List<Heartbeat> heartbeats = new ArrayList<>();
        for (PeerEntry entry : known.values()) {
            if (!entry.hasHeartbeat(nowMs) || entry.state.id().equals(sender)) {
                continue;
            }
            Heartbeat their = theirs.get(entry.state.id());
            if (their == null || !their.isOfSameState(entry.state)) {
                if (states.size() < MAX_STATES) {
                    states.add(entry.relayed(nowMs));
                }
            } else if (their.sequence() < entry.sequence) {
                heartbeats.add(entry.heartbeat(nowMs));
            }
        }
        return new PeerUpdate(states, heartbeats, loadsFor(Optional.of(senderRegion), random, nowMs));
    }

    /** States of instances of an earlier version, which change without a change of the version number. */
    private List<RelayedState> earlierStates(RandomGenerator random, long nowMs) {
        List<PeerEntry> earlier = new ArrayList<>();
        for (PeerEntry entry : known.values()) {
            if (entry.isFresh(nowMs) && entry.state.version() == 0) {
                earlier.add(entry);
            }
        }
        return MessageTargets.sample(earlier, MAX_EARLIER_STATES, random).stream()
                .map(entry -> entry.relayed(nowMs))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Instances of other regions report their loads to few instances of this one, which relay them to the others. */
    private List<RelayedLoad> loadsFor(Optional<Region> recipientRegion, RandomGenerator random, long nowMs) {
        if (recipientRegion.filter(localRegion::equals).isEmpty()) {
            return List.of();
        }
        Map<Region, List<PeerEntry>> byRegion = new HashMap<>();
        for (PeerEntry entry : known.values()) {
            if (!entry.state.region().equals(localRegion)
                    && entry.hasHeartbeat(nowMs)
                    && nowMs - entry.loadsAtMs <= STALE_STATE_MS) {
                byRegion.computeIfAbsent(entry.state.region(), region -> new ArrayList<>())
                        .add(entry);
            }
        }
        return byRegion.values().stream()
                .flatMap(entries -> MessageTargets.sample(entries, LOADS_PER_REGION, random).stream())
                .map(entry ->
                        new RelayedLoad(entry.state.id(), entry.state.services(), Math.max(1, nowMs - entry.loadsAtMs)))
                .toList();
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
        for (PeerEntry entry : known.values()) {
            if (entry.state.peerAddress().equals(peer)) {
                entry.unreachableUntilMs = nowMs + UNREACHABLE_HOLD_MS;
                aliveUntilMs = Long.MIN_VALUE;
            }
        }
    }

    /**
     * Records that an instance refused a request. The instance counts as having no free slots for the service until a
     * newer state of it arrives.
     *
     * @param peer its address for other instances
     * @param service the service
     */
    public void recordRefusal(Address peer, String service) {
        for (PeerEntry entry : known.values()) {
            if (!entry.state.peerAddress().equals(peer)) {
                continue;
            }
            PeerEntry reporter = latestLoads().getOrDefault(entry.state.region(), entry);
            if (entry.state.services().isEmpty()) {
                entry.state = entry.state.withServices(reporter.state.services());
                entry.loadsAtMs = reporter.loadsAtMs;
            }
            ServiceLoad load = entry.state.services().get(service);
            if (load != null) {
                entry.state = entry.state.withLoad(service, new ServiceLoad(0, load.waitMs()));
                aliveUntilMs = Long.MIN_VALUE;
            }
        }
    }

    /** Returns the instance of each other region that has reported its load last. */
    private Map<Region, PeerEntry> latestLoads() {
        Map<Region, PeerEntry> latest = new HashMap<>();
        for (PeerEntry entry : known.values()) {
            if (!entry.state.region().equals(localRegion)
                    && !entry.state.services().isEmpty()) {
                latest.merge(
                        entry.state.region(), entry, (one, other) -> one.loadsAtMs >= other.loadsAtMs ? one : other);
            }
        }
        return latest;
    }

    /**
     * Removes expired entries and returns the instances that are presumably running. An instance of another region
     * whose own report is unknown has the latest load that any instance of its region has reported. The list is
     * computed again only after a change, because each request reads it.
     *
     * @param nowMs current time, milliseconds
     * @return their states, ordered by instance id
     */
    public List<PeerState> alive(long nowMs) {
        if (nowMs < aliveUntilMs) {
            return alive;
        }
        known.values().removeIf(entry -> nowMs - entry.reportedAtMs > EXPIRY_MS);
        for (PeerEntry entry : known.values()) {
            if (nowMs - entry.loadsAtMs > STALE_STATE_MS
                    && !entry.state.services().isEmpty()) {
                entry.state = entry.state.withServices(Map.of());
            }
        }
        Map<Region, PeerEntry> loads = latestLoads();
        List<PeerState> running = new ArrayList<>(known.size());
        long untilMs = nowMs + STALE_STATE_MS;
        for (PeerEntry entry : known.values()) {
            if (!entry.state.services().isEmpty()) {
                untilMs = Math.min(untilMs, entry.loadsAtMs + STALE_STATE_MS + 1);
            }
            if (entry.isFresh(nowMs) && nowMs < entry.unreachableUntilMs) {
                untilMs = Math.min(untilMs, entry.unreachableUntilMs);
            } else if (entry.isFresh(nowMs)) {
                untilMs = Math.min(untilMs, entry.reportedAtMs + STALE_STATE_MS + 1);
                PeerEntry reporter = loads.getOrDefault(entry.state.region(), entry);
                running.add(
                        entry.state.services().isEmpty()
                                ? entry.state.withServices(reporter.state.services())
                                : entry.state);
            }
        }
        alive = List.copyOf(running);
        aliveUntilMs = untilMs;
        return alive;
    }

    /**
     * Returns the instances that were heard from recently, including those to which the last connection failed.
     *
     * @param nowMs current time, milliseconds
     * @return their states, in no particular order
     */
    public List<PeerState> recentlyHeard(long nowMs) {
        return known.values().stream()
                .filter(entry -> nowMs - entry.reportedAtMs <= STALE_STATE_MS)
                .map(entry -> entry.state)
                .toList();
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
                .map(entry -> entry.state)
                .filter(state -> state.peerAddress().equals(peer))
                .map(PeerState::region)
                .findFirst();
    }

    private Stream<InstanceId> othersInRegion(Region region) {
        return known.values().stream()
                .map(entry -> entry.state)
                .filter(state -> state.region().equals(region))
                .map(PeerState::id);
    }

    /**
     * Selects random recent states for an instance of an earlier version, which does not read heartbeats. Half of those
     * for another region are states of the local region, which it learns from few others; the rest lets instances of
     * its own region find each other.
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
        shuffled.removeIf(entry -> !entry.isFresh(nowMs));
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
        return selected.stream().map(entry -> entry.relayed(nowMs)).toList();
    }

    /**
     * Selects the addresses to send the next message to. Most are in the own availability zone; the instances of a zone
     * together send a constant number of messages to the other zones of the region, and those of a region to other
     * regions, so that the traffic between zones does not grow with the deployment.
     *
     * @param seeds addresses from the settings, without the local one
     * @param reader the reader of the store in the own zone to ask for changes, if the local instance follows one; it
     *     takes the place of a random instance
     * @param random source of randomness
     * @param nowMs current time, milliseconds
     * @return random known instances, and one random seed that is not among the known instances, if any
     */
    public List<Address> targets(
            Collection<Address> seeds, Optional<Address> reader, RandomGenerator random, long nowMs) {
        return MessageTargets.choose(known.values(), localRegion, localZone, seeds, reader, random, nowMs);
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
}
