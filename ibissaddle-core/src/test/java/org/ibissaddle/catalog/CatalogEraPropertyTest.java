package org.ibissaddle.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.Configuration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Load pattern: random writes to a store that comes back from older copies, and instances that list it, watch it, learn
 * from each other by messages that are lost, late or repeated, and restart.
 */
class CatalogEraPropertyTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 200;
    private static final int INSTANCES = 4;
    private static final int SERVERS = 4;
    private static final Zone ZONE = new Zone("north-a");

    static LongStream seeds() {
        return LongStream.range(0, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldHoldWhatTheStoreHoldsAndNoEarlierConfiguration(long seed) {
        assertThat(new Deployment(seed, true).play()).isEmpty();
    }

    /** Guards against a test that can't fail: without eras, instances keep what the store has lost. */
    @Test
    void shouldFailWhenTheEraIsIgnored() {
        long failures = seeds().filter(
                        seed -> !new Deployment(seed, false).play().isEmpty())
                .count();

        assertThat(failures).isPositive();
    }

    /** A message between instances, or a part of the store's state. */
    private record Message(List<CatalogItem> items, StoreVersion at, boolean whole) {}

    private record Copy(Map<String, CatalogItem> items, List<CatalogItem> log, long revision) {}

    /** The store and its writers, which repeat what they wrote when it comes back from a copy. */
    private static final class Store {
        private final SplittableRandom random;
        private final boolean namesEra;
        private final List<Copy> copies = new ArrayList<>();
        private Map<String, CatalogItem> items = new TreeMap<>();
        private List<CatalogItem> log = new ArrayList<>();
        private long revision;
        private long era = 1;
        private int configuration;
        private boolean evacuated;
        private int sequence;
        private final Map<String, Integer> processes = new TreeMap<>();

        Store(SplittableRandom random, boolean namesEra) {
            this.random = random;
            this.namesEra = namesEra;
            publishConfiguration();
        }

        StoreVersion version(long at) {
            return new StoreVersion(namesEra ? era : 0, at);
        }

        void write(String key, String value) {
            CatalogItem item = new CatalogItem(key, value, version(++revision));
            log.add(item);
            if (value == null) {
                items.remove(key);
            } else {
                items.put(key, item);
            }
        }

        private void publishConfiguration() {
            write("configuration", Integer.toString(++configuration));
        }

        void writeSomething() {
            String server = "s" + random.nextInt(SERVERS);
            switch (random.nextInt(6)) {
                case 0 -> publishConfiguration();
                case 1 -> {
                    evacuated = !evacuated;
                    write(ZONE.name(), evacuated ? "{}" : null);
                }
                case 2 -> {
                    if (processes.remove(server) != null) {
                        write(server, null);
                    }
                }
                case 3 -> {
                    processes.put(server, ++sequence);
                    publish(server, "ready");
                }
                default -> publish(server, random.nextInt(4) == 0 ? "draining" : "ready");
            }
        }

        private void publish(String server, String state) {
            if (processes.containsKey(server)) {
                write(server, state + " " + processes.get(server) + " " + ++sequence);
            }
        }

        void copy() {
            copies.add(new Copy(new TreeMap<>(items), new ArrayList<>(log), revision));
        }

        void restoreCopy() {
            if (copies.isEmpty()) {
                return;
            }
            Copy copy = copies.get(random.nextInt(copies.size()));
            copies.clear();
            era++;
            items = copy.items().entrySet().stream()
                    .collect(Collectors.toMap(
                            Map.Entry::getKey, entry -> inEra(entry.getValue()), (a, b) -> a, TreeMap::new));
            log = copy.log().stream().map(this::inEra).collect(Collectors.toCollection(ArrayList::new));
            revision = copy.revision();
        }

        private CatalogItem inEra(CatalogItem item) {
            return item.at(version(item.version().revision()));
        }

        /** The writers repeat what the copy lacks; entries of servers that have ended lapse. */
        void repeatWrites() {
            write("configuration", Integer.toString(configuration));
            write(ZONE.name(), evacuated ? "{}" : null);
            for (int i = 0; i < SERVERS; i++) {
                String server = "s" + i;
                if (processes.containsKey(server)) {
                    publish(server, "ready");
                } else if (items.containsKey(server)) {
                    write(server, null);
                }
            }
        }
    }

    private static final class Instance {
        private Catalog catalog = new Catalog(CatalogEraTest::decode);
        private StoreVersion known = StoreVersion.NONE;
        private long highestConfiguration;

        void restart() {
            catalog = new Catalog(CatalogEraTest::decode);
            known = StoreVersion.NONE;
            highestConfiguration = 0;
        }

        void read(Store store, boolean compacted, long nowMs) {
            boolean watches = known.revision() > 0
                    && known.era() == store.version(0).era()
                    && known.revision() <= store.revision
                    && !compacted;
            StoreVersion at = store.version(store.revision);
            if (watches) {
                long after = known.revision();
                receive(
                        new Message(
                                store.log.stream()
                                        .filter(item -> item.version().revision() > after)
                                        .toList(),
                                at,
                                false),
                        nowMs);
            } else {
                receive(new Message(List.copyOf(store.items.values()), at, true), nowMs);
            }
            known = StoreVersion.max(known, at);
        }

        Message answer(StoreVersion requested) {
            return new Message(catalog.changesAfter(requested), known, requested.era() < known.era());
        }

        void receive(Message message, long nowMs) {
            if (message.whole()) {
                catalog.applySnapshot(message.items(), message.at(), nowMs);
            } else {
                catalog.apply(message.items(), nowMs);
            }
        }
    }

    private static final class Deployment {
        private final SplittableRandom random;
        private final Store store;
        private final List<Instance> instances = new ArrayList<>();
        private final List<Message> underway = new ArrayList<>();
        private final List<String> faults = new ArrayList<>();
        private long nowMs;

        Deployment(long seed, boolean namesEra) {
            random = new SplittableRandom(seed);
            store = new Store(random, namesEra);
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(new Instance());
            }
        }

        List<String> play() {
            for (int step = 0; step < STEPS; step++) {
                nowMs += random.nextInt(500);
                step();
                instances.forEach(instance -> instance.catalog.applyDeferredRemovals(nowMs));
                instances.forEach(this::checkConfiguration);
            }
            store.repeatWrites();
            instances.forEach(instance -> instance.read(store, false, nowMs));
            nowMs += Catalog.EVACUATION_GRACE_MS;
            instances.forEach(instance -> instance.catalog.applyDeferredRemovals(nowMs));
            instances.forEach(this::checkState);
            return faults;
        }

        private void step() {
            Instance instance = instances.get(random.nextInt(INSTANCES));
            switch (random.nextInt(20)) {
                case 0 -> store.copy();
                case 1 -> store.restoreCopy();
                case 2 -> store.repeatWrites();
                case 3 -> instance.restart();
                case 4, 5, 6, 7 -> instance.read(store, random.nextInt(10) == 0, nowMs);
                case 8, 9, 10 ->
                    underway.add(instances.get(random.nextInt(INSTANCES)).answer(instance.known));
                case 11, 12, 13 -> deliver(instance);
                default -> store.writeSomething();
            }
        }

        /** Messages may be late, repeated, and lost. */
        private void deliver(Instance to) {
            if (underway.isEmpty()) {
                return;
            }
            int index = random.nextInt(underway.size());
            Message message = random.nextBoolean() ? underway.get(index) : underway.remove(index);
            to.receive(message, nowMs);
        }

        private void checkConfiguration(Instance instance) {
            long version =
                    instance.catalog.configuration().map(Configuration::version).orElse(0L);
            if (version < instance.highestConfiguration) {
                faults.add("configuration " + version + " after " + instance.highestConfiguration);
            }
            instance.highestConfiguration = version;
        }

        private void checkState(Instance instance) {
            Map<String, Boolean> held = new TreeMap<>();
            instance.catalog.servers().forEach((id, entry) -> held.put(id.name(), entry.draining()));
            Map<String, Boolean> published = new TreeMap<>();
            store.items.values().stream()
                    .filter(item -> item.key().startsWith("s"))
                    .forEach(item -> published.put(item.key(), item.value().startsWith("draining")));
            if (!held.equals(published)) {
                faults.add("servers " + held + " instead of " + published);
            }
            if (instance.catalog.isEvacuated(ZONE) != store.items.containsKey(ZONE.name())) {
                faults.add("evacuation differs");
            }
            if (instance.catalog.configuration().map(Configuration::version).orElse(0L) != store.configuration) {
                faults.add("configuration differs");
            }
            for (ServerEntry entry : instance.catalog.servers().values()) {
                Integer process = store.processes.get(entry.id().name());
                if (process == null || entry.startedMs().getAsLong() != process) {
                    faults.add("another process of " + entry.id());
                }
            }
        }
    }
}
