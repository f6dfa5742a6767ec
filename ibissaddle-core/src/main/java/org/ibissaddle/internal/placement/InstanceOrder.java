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

/** Orders instances for a caller: by health, region, zone and load, then by prefix or at random. */
public final class InstanceOrder {
    private static final int SUSPECT = 8;
    private static final int OTHER_REGION = 4;
    private static final int FULL = 2;
    private static final int OTHER_ZONE = 1;
    private static final double FULL_LOAD = 1;
    private static final double MIN_ROOM = 0.05;

    private record Ranked(InstanceView instance, int rank, double key) {}

    private InstanceOrder() {}

    /**
     * Orders instances.
     *
     * @param usable the instances
     * @param region region of the instance that is asked
     * @param zone availability zone of the caller
     * @param prefix hash of the first block of the caller's prompt
     * @param random source of random numbers
     * @return the instances, best first
     */
    public static List<InstanceView> order(
            List<InstanceView> usable, Region region, Zone zone, OptionalLong prefix, RandomGenerator random) {
        List<Ranked> ranked = new ArrayList<>();
        for (InstanceView instance : usable) {
            double draw = prefix.isPresent() ? hashed(prefix.getAsLong(), instance) : random.nextDouble();
            double room = Math.max(MIN_ROOM, FULL_LOAD - instance.load());
            ranked.add(new Ranked(instance, rank(instance, region, zone), -Math.log(1 - draw) / room));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparingDouble(Ranked::key));
        return ranked.stream().map(Ranked::instance).toList();
    }

    private static int rank(InstanceView instance, Region region, Zone zone) {
        int rank = instance.health() == Health.SUSPECT ? SUSPECT : 0;
        rank += instance.region().equals(region) ? 0 : OTHER_REGION;
        rank += instance.load() >= FULL_LOAD ? FULL : 0;
        return rank + (instance.zone().equals(zone) ? 0 : OTHER_ZONE);
    }

    private static double hashed(long prefix, InstanceView instance) {
        long hash = PrefixIndex.mix(prefix ^ PrefixIndex.mix(instance.id().hashCode()));
        return (hash >>> 11) * 0x1p-53;
    }
}
