package org.ibissaddle.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;

/** The other instances of the deployment. Confined to one thread. */
public final class Peers {
    /** An instance not heard of for this long is left out of answers, milliseconds; six rounds of messages. */
    public static final long SILENT_MS = 3_000;

    /** An instance not heard of for this long is forgotten, milliseconds. */
    private static final long FORGOTTEN_MS = 60_000;
    /** How long one failed connection speaks against an instance, milliseconds; it is asked again meanwhile. */
    private static final long UNREACHABLE_MS = 1_500;

    /** Weight of a new round trip: about the last five count. */
    private static final double ROUND_TRIP_SMOOTHING = 0.2;

    private final InstanceId self;
    private final Map<InstanceId, Known> known = new HashMap<>();
    private final Map<Region, Double> roundTripsMs = new HashMap<>();

    /**
     * Makes an empty table.
     *
     * @param self the own instance, which the table never holds
     */
    public Peers(InstanceId self) {
        this.self = self;
    }

    /**
     * Takes in a state.
     *
     * @param rumour the state with its age, 0 when the instance itself sent it
     * @param nowMs current time, milliseconds
     * @return whether it was news
     */
    public boolean learn(Rumour rumour, long nowMs) {
        PeerState state = rumour.state();
        if (state.id().equals(self) || rumour.ageMs() > FORGOTTEN_MS) {
            return false;
        }
        Known before = known.get(state.id());
        if (before != null && !state.isNewerThan(before.state)) {
            return false;
        }
        boolean restarted = before == null || before.state.incarnation() != state.incarnation();
        long unreachableUntilMs = restarted || rumour.ageMs() == 0 ? 0 : before.unreachableUntilMs;
        known.put(state.id(), new Known(state, nowMs - rumour.ageMs(), unreachableUntilMs));
        return true;
    }

    /**
     * Notes how long a message to a region and its answer took.
     *
     * @param region the region
     * @param tookMs milliseconds
     */
    public void observedRoundTrip(Region region, long tookMs) {
        roundTripsMs.merge(region, (double) tookMs, (before, now) -> before + (now - before) * ROUND_TRIP_SMOOTHING);
    }

    /**
     * Returns how long a message to a region and its answer take.
     *
     * @param region the region
     * @return milliseconds, empty while no instance there has answered
     */
    public Optional<Double> roundTripMs(Region region) {
        return Optional.ofNullable(roundTripsMs.get(region));
    }

    /**
     * Notes that an instance couldn't be reached.
     *
     * @param peer its address for other instances
     * @param nowMs current time, milliseconds
     */
    public void unreachable(Address peer, long nowMs) {
        known.replaceAll((id, one) -> one.state.peerAddress().equals(peer)
                ? new Known(one.state, one.saidAtMs, nowMs + UNREACHABLE_MS)
                : one);
    }

    /**
     * Notes that an instance refused a request; until it says something new, its region counts as full.
     *
     * @param peer its address for other instances
     * @param service the service
     */
    public void refused(Address peer, String service) {
        known.replaceAll((id, one) -> {
            ServiceLoad load = one.state.services().get(service);
            if (!one.state.peerAddress().equals(peer) || load == null) {
                return one;
            }
            return new Known(
                    one.state.withLoad(service, new ServiceLoad(0, load.waitMs())),
                    one.saidAtMs,
                    one.unreachableUntilMs);
        });
    }

    /**
     * Returns the instances that are presumably running.
     *
     * @param nowMs current time, milliseconds
     * @return their states, in the order of their ids
     */
    public List<PeerState> alive(long nowMs) {
        known.values().removeIf(one -> nowMs - one.saidAtMs > FORGOTTEN_MS);
        List<PeerState> alive = new ArrayList<>();
        for (Known one : known.values()) {
            if (nowMs - one.saidAtMs <= SILENT_MS && nowMs >= one.unreachableUntilMs) {
                alive.add(one.state);
            }
        }
        alive.sort(Comparator.comparing(PeerState::id));
        return alive;
    }

    /**
     * Returns how many instances the deployment has, dead ones that may return included.
     *
     * @return number of instances, the own one included
     */
    public int deploymentSize() {
        return known.size() + 1;
    }

    /**
     * Returns how many instances may send to the servers of a region.
     *
     * @param region the region
     * @return the own instance, and all others of the region heard of lately
     */
    public int sharers(Region region) {
        int sharers = 1;
        for (Known one : known.values()) {
            if (one.state.region().equals(region)) {
                sharers++;
            }
        }
        return sharers;
    }

    /**
     * Chooses what to pass on with a message.
     *
     * @param most most states
     * @param random source of the choice
     * @param nowMs current time, milliseconds
     * @return states with their ages
     */
    public List<Rumour> rumours(int most, RandomGenerator random, long nowMs) {
        List<Known> chosen = new ArrayList<>(known.values());
        chosen.removeIf(one -> nowMs - one.saidAtMs > SILENT_MS);
        Collections.shuffle(chosen, java.util.Random.from(random));
        return chosen.stream()
                .limit(most)
                .map(one -> new Rumour(one.state, nowMs - one.saidAtMs))
                .toList();
    }

    /**
     * Returns the addresses to send the next message to.
     *
     * @param seeds addresses from the settings, the own one left out
     * @param most most addresses
     * @param random source of the choice
     * @return known instances; seeds while none is known, and now and then
     */
    public List<Address> targets(Collection<Address> seeds, int most, RandomGenerator random) {
        Set<Address> all = new java.util.LinkedHashSet<>();
        known.values().forEach(one -> all.add(one.state.peerAddress()));
        List<Address> chosen = new ArrayList<>(all);
        Collections.shuffle(chosen, java.util.Random.from(random));
        List<Address> targets = new ArrayList<>(chosen.subList(0, Math.min(most, chosen.size())));
        List<Address> unknownSeeds =
                seeds.stream().filter(seed -> !all.contains(seed)).toList();
        if (!unknownSeeds.isEmpty()) {
            targets.add(unknownSeeds.get(random.nextInt(unknownSeeds.size())));
        }
        return targets;
    }

    /**
     * Chooses the instance that a request goes to when another region serves it.
     *
     * @param service the service
     * @param allowed regions that may serve it; empty when all may
     * @param own the own region, which is left out
     * @param tried instances that have had the request
     * @param nowMs current time, milliseconds
     * @return the instance whose servers answer first, empty when there is none
     */
    public Optional<PeerState> bestFor(
            String service, Set<Region> allowed, Region own, Set<Address> tried, long nowMs) {
        return alive(nowMs).stream()
                .filter(PeerState::ready)
                .filter(state -> !state.region().equals(own))
                .filter(state -> allowed.isEmpty() || allowed.contains(state.region()))
                .filter(state -> !tried.contains(state.peerAddress()))
                .filter(state -> state.services().containsKey(service))
                .min(Comparator.comparingLong((PeerState state) ->
                                state.services().get(service).waitMs())
                        .thenComparing(state -> state.services().get(service).freeSlots(), Comparator.reverseOrder()));
    }

    private record Known(PeerState state, long saidAtMs, long unreachableUntilMs) {}
}
