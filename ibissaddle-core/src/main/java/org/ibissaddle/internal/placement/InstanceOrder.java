package org.ibissaddle.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * Orders instances for a caller: by health, region, whether they are full, and availability zone. Instances of equal
 * rank are ordered by weighted hashing of the prompt prefix, or at random without a prefix, weighted by their spare
 * load.
 */
public final class InstanceOrder {
    private static final int SUSPECT_RANK = 8;
    private static final int OTHER_REGION_RANK = 4;
    private static final int FULL_RANK = 2;
    private static final int OTHER_ZONE_RANK = 1;
    private static final double FULL_LOAD = 1;
    private static final double MIN_SPARE_LOAD = 0.05;

    private record Ranked(InstanceView instance, int rank, double key) {}

    private InstanceOrder() {}

    /**
     * Orders instances.
     *
     * @param usable instances that may serve the caller
     * @param region region of the instance that answers the query
     * @param zone availability zone of the caller
     * @param prefix hash of the first block of the caller's prompt
     * @param random source of random numbers
     * @return the instances, best first
     */
    public static List<InstanceView> order(
            List<InstanceView> usable, Region region, Zone zone, OptionalLong prefix, RandomGenerator random) {
        List<Ranked> ranked = new ArrayList<>();
        for (InstanceView instance : usable) {
            double uniform = prefix.isPresent() ? uniformHash(prefix.getAsLong(), instance) : random.nextDouble();
            double spareLoad = Math.max(MIN_SPARE_LOAD, FULL_LOAD - instance.load());
            ranked.add(new Ranked(instance, rank(instance, region, zone), -Math.log(1 - uniform) / spareLoad));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingDouble(Ranked::key));
        return ranked.stream().map(Ranked::instance).toList();
    }

    private static int rank(InstanceView instance, Region region, Zone zone) {
        int rank = instance.health() == Health.SUSPECT ? SUSPECT_RANK : 0;
        rank += instance.region().equals(region) ? 0 : OTHER_REGION_RANK;
        rank += instance.load() >= FULL_LOAD ? FULL_RANK : 0;
        return rank + (instance.zone().equals(zone) ? 0 : OTHER_ZONE_RANK);
    }

    private static double uniformHash(long prefix, InstanceView instance) {
        long hash = PrefixIndex.mix(prefix ^ PrefixIndex.mix(instance.id().hashCode()));
        return (hash >>> 11) * 0x1p-53;
    }
}
