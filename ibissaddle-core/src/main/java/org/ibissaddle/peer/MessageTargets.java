package org.ibissaddle.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/** Selects the recipients of a round of messages between instances. */
final class MessageTargets {
    /** Number of instances of a small availability zone to which an instance of the zone sends in one round. */
    private static final int SMALL_ZONE_TARGETS = 2;
    /**
     * The same number for large zones. With two, news of another region took up to 3 s to reach all of 20 instances of
     * a zone while one in five messages was lost.
     */
    private static final int LARGE_ZONE_TARGETS = 3;
    /** Size above which a zone is large. */
    private static final int SMALL_ZONE = 10;
    /** Number of instances of other zones of the region to which the instances of a zone send in one round. */
    private static final int REGION_TARGETS_PER_ZONE = 4;
    /** Number of instances of other regions to which the instances of a region send in one round. */
    private static final int REMOTE_TARGETS_PER_REGION = 4;
    /**
     * Age of a state above which an instance of the region counts as silent, in milliseconds. It is half of the age at
     * which a state is stale, so that few messages are lost to instances that have stopped when half of a zone stops at
     * once.
     */
    private static final long SILENCE_MS = PeerTable.STALE_STATE_MS / 2;
    /**
     * Number of silent or unreachable instances to which the instances of a zone send in one round, to notice their
     * return.
     */
    private static final int SILENT_TARGETS_PER_ZONE = 2;

    private MessageTargets() {}

    static List<Address> choose(
            Collection<PeerEntry> entries,
            Region localRegion,
            Zone localZone,
            Collection<Address> seeds,
            Optional<Address> reader,
            RandomGenerator random,
            long nowMs) {
        List<Address> inZone = new ArrayList<>();
        List<Address> inRegion = new ArrayList<>();
        List<Address> remote = new ArrayList<>();
        List<Address> silent = new ArrayList<>();
        Set<Address> all = new HashSet<>();
        for (PeerEntry entry : entries) {
            PeerState state = entry.state;
            all.add(state.peerAddress());
            boolean isLocal = state.region().equals(localRegion);
            long silenceMs = isLocal ? SILENCE_MS : PeerTable.STALE_STATE_MS;
            if (nowMs - entry.reportedAtMs > silenceMs || nowMs < entry.unreachableUntilMs) {
                silent.add(state.peerAddress());
            } else if (!isLocal) {
                remote.add(state.peerAddress());
            } else {
                (state.zone().equals(localZone) ? inZone : inRegion).add(state.peerAddress());
            }
        }
        int zoneSize = inZone.size() + 1;
        int regionSize = zoneSize + inRegion.size();
        reader.ifPresent(inZone::remove);
        int zoneTargets = zoneSize > SMALL_ZONE ? LARGE_ZONE_TARGETS : SMALL_ZONE_TARGETS;
        List<Address> targets = new ArrayList<>(sample(inZone, zoneTargets - (reader.isPresent() ? 1 : 0), random));
        reader.ifPresent(targets::add);
        targets.addAll(sample(inRegion, share(REGION_TARGETS_PER_ZONE, zoneSize, random), random));
        targets.addAll(sample(remote, share(REMOTE_TARGETS_PER_REGION, regionSize, random), random));
        targets.addAll(sample(silent, Math.min(1, share(SILENT_TARGETS_PER_ZONE, zoneSize, random)), random));
        List<Address> unknownSeeds =
                seeds.stream().filter(seed -> !all.contains(seed)).toList();
        if (!unknownSeeds.isEmpty()) {
            targets.add(unknownSeeds.get(random.nextInt(unknownSeeds.size())));
        }
        return targets;
    }

    /** Returns the part of an instance in a number of messages that several instances send together. */
    private static int share(int messages, int instances, RandomGenerator random) {
        return (int) ((double) messages / instances + random.nextDouble());
    }

    /** Returns random elements of a list, which is reordered. */
    static <T> List<T> sample(List<T> all, int limit, RandomGenerator random) {
        int count = Math.min(limit, all.size());
        for (int i = 0; i < count; i++) {
            Collections.swap(all, i, i + random.nextInt(all.size() - i));
        }
        return all.subList(0, count);
    }
}
