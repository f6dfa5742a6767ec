package org.ibissaddle.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderPlannerTest {
    private static final Region NORTH = new Region("north");
    private static final Zone ZONE = new Zone("north-1");
    private static final Address ADDRESS = new Address("10.0.0.1", 80);
    private static final ModelId OLD = new ModelId("dossier", "3");
    private static final ModelId NEW = new ModelId("dossier", "4");
    private static final long STEP_MS = 1_000;
    private static final long HOUR_MS = 3_600_000;

    private final Map<String, Engine> engines = new TreeMap<>();
    private long nowMs = 1_700_000_000_000L;

    /** An engine that applies orders to its set of resident models and adapters. */
    private static final class Engine {
        final Set<ModelId> models = new HashSet<>();
        final Set<AdapterId> adapters = new HashSet<>();
        final boolean checksTokens;
        FencingToken highest = new FencingToken(0);
        int changes;

        Engine(boolean checksTokens) {
            this.checksTokens = checksTokens;
        }

        OrderOutcome apply(Order order) {
            if (checksTokens && order.token().compareTo(highest) < 0) {
                return OrderOutcome.STALE_TOKEN;
            }
            highest = order.token().compareTo(highest) > 0 ? order.token() : highest;
            boolean changed = switch (order.kind()) {
                case LOAD ->
                    order.adapter().isPresent() ? adapters.add(order.adapter().get()) : models.add(order.model());
                case UNLOAD -> models.remove(order.model());
            };
            changes += changed ? 1 : 0;
            return OrderOutcome.APPLIED;
        }
    }

    /** An instance that plans orders from its own copy of the published data. */
    private final class PlanningInstance {
        final InstanceId id;
        final OrderPlanner planner;
        ReleaseNote note;
        FleetList list;
        long noteSinceMs = nowMs;
        boolean fresh = true;
        int sentOrders;

        PlanningInstance(String name, ReleaseNote note, FleetList list) {
            this.id = new InstanceId(name);
            this.planner = OrderPlanner.create(id, NORTH);
            this.note = note;
            this.list = list;
        }

        void step() {
            OrderInputs inputs = new OrderInputs(note, noteSinceMs, fresh, list, view(id));
            for (Order order : planner.plan(inputs, nowMs)) {
                sentOrders++;
                planner.recordOutcome(order, engines.get(order.server().name()).apply(order), nowMs);
            }
        }
    }

    private FleetView view(InstanceId self) {
        InstanceView own = new InstanceView(self, Optional.empty(), NORTH, ZONE, ADDRESS, ADDRESS, Health.LIVE, 0, 0);
        List<ServerView> servers = new ArrayList<>();
        engines.forEach((name, engine) -> servers.add(new ServerView(
                new ServerId(name),
                Optional.empty(),
                new PoolId("inspection"),
                NORTH,
                ZONE,
                ADDRESS,
                Health.LIVE,
                engine.models,
                new ServerLoad(nowMs, 0, 0, 0, 0, 100, 0),
                engine.adapters)));
        return new FleetView(own, List.of(), servers, nowMs);
    }

    private static ReleaseNote note(long number, String models, String extraSections) throws NoteRejectedException {
        return NoteReader.read("[note]\nnumber = " + number
                + "\n[region north]\n[region south]\n[pool inspection]\nkind = model\nmodels = " + models
                + "\n[store]\ngigabytes-per-model = 2\nmegabits-per-second = 1600\n" + extraSections);
    }

    private static FleetList list(long revision, String... instances) {
        List<ListEntry> entries = new ArrayList<>();
        for (String name : instances) {
            entries.add(new ListEntry(
                    name,
                    ListEntry.Kind.INSTANCE,
                    Optional.empty(),
                    NORTH,
                    ZONE,
                    ADDRESS,
                    Optional.of(ADDRESS),
                    false));
        }
        return new FleetList(revision, entries);
    }

    private void run(long forMs, PlanningInstance... instances) {
        for (long until = nowMs + forMs; nowMs < until; nowMs += STEP_MS) {
            for (PlanningInstance instance : instances) {
                instance.step();
            }
        }
    }

    private Map<String, Set<ModelId>> residentModels() {
        Map<String, Set<ModelId>> resident = new HashMap<>();
        engines.forEach((name, engine) -> resident.put(name, Set.copyOf(engine.models)));
        return resident;
    }

    private void engines(int count, boolean checksTokens) {
        for (int i = 0; i < count; i++) {
            Engine engine = new Engine(checksTokens);
            engine.models.add(OLD);
            engines.put("e" + i, engine);
        }
    }

    @Nested
    class Loads {
        @Test
        void shouldLoadSequentiallyAtTheStoreBandwidth() throws NoteRejectedException {
            engines(3, false);
            PlanningInstance instance = new PlanningInstance("a", note(2, "dossier@3, dossier@4", ""), list(1, "a"));
            run(20_000, instance);
            assertThat(engines.values().stream().filter(engine -> engine.models.contains(NEW)))
                    .hasSizeBetween(1, 2);

            run(300_000, instance);
            assertThat(engines.values()).allMatch(engine -> engine.models.contains(NEW));
            assertThat(engines.values()).allMatch(engine -> engine.changes == 1);
        }

        @Test
        void shouldLoadAdaptersOfResidentModels() throws NoteRejectedException {
            engines(2, false);
            PlanningInstance instance = new PlanningInstance(
                    "a", note(2, "dossier@3", "[adapter prices]\nmodel = dossier@3\n"), list(1, "a"));
            run(60_000, instance);

            assertThat(engines.values()).allMatch(engine -> engine.adapters.contains(new AdapterId("prices")));
        }

        @Test
        void shouldAssignEachEngineToOneInstance() throws NoteRejectedException {
            engines(6, false);
            ReleaseNote note = note(2, "dossier@4", "");
            PlanningInstance a = new PlanningInstance("a", note, list(1, "a", "b"));
            PlanningInstance b = new PlanningInstance("b", note, list(1, "a", "b"));
            run(900_000, a, b);

            assertThat(a.sentOrders).isPositive();
            assertThat(b.sentOrders).isPositive();
            assertThat(engines.values()).allMatch(engine -> engine.models.equals(Set.of(NEW)) && engine.changes == 2);
        }
    }

    @Nested
    class ConflictingInstances {
        @Test
        void shouldNotRevertAnEngineThatChecksTokens() throws NoteRejectedException {
            engines(2, true);
            PlanningInstance current =
                    new PlanningInstance("a", note(3, "dossier@4\nchecks-tokens = true", ""), list(9, "a"));
            PlanningInstance outdated =
                    new PlanningInstance("b", note(2, "dossier@3\nchecks-tokens = true", ""), list(4, "b"));
            run(HOUR_MS / 6, current);
            Map<String, Set<ModelId>> before = residentModels();
            outdated.noteSinceMs = 0;
            run(HOUR_MS, outdated, current);

            assertThat(before.values()).allMatch(Set.of(NEW)::equals);
            assertThat(residentModels()).isEqualTo(before);
        }

        @Test
        void shouldConvergeAnEngineThatIgnoresTokensToTheNewerNote() throws NoteRejectedException {
            engines(2, false);
            PlanningInstance current = new PlanningInstance("a", note(3, "dossier@4", ""), list(9, "a"));
            PlanningInstance outdated = new PlanningInstance("b", note(2, "dossier@3", ""), list(4, "b"));
            outdated.fresh = false;
            run(HOUR_MS / 2, outdated, current);
            int changes =
                    engines.values().stream().mapToInt(engine -> engine.changes).sum();

            assertThat(residentModels().values()).allMatch(Set.of(NEW)::equals);
            run(HOUR_MS, outdated, current);
            assertThat(engines.values().stream()
                            .mapToInt(engine -> engine.changes)
                            .sum())
                    .isEqualTo(changes);
        }

        @Test
        void shouldNotUnloadWithinTheMaximumPauseOfAnotherInstance() throws NoteRejectedException {
            engines(1, false);
            PlanningInstance current = new PlanningInstance("a", note(3, "dossier@4", ""), list(9, "a"));
            run(OrderPlanner.MAX_PAUSE_MS, current);

            assertThat(engines.get("e0").models).containsExactlyInAnyOrder(OLD, NEW);
        }

        @Test
        void shouldLimitTheValidityOfOrdersToLessThanTheMaximumPause() throws NoteRejectedException {
            engines(1, false);
            PlanningInstance instance = new PlanningInstance("a", note(3, "dossier@4", ""), list(9, "a"));
            OrderInputs inputs = new OrderInputs(instance.note, 0, true, instance.list, view(instance.id));

            assertThat(instance.planner.plan(inputs, nowMs))
                    .isNotEmpty()
                    .allMatch(order -> order.validUntilMs() < nowMs + OrderPlanner.MAX_PAUSE_MS);
        }
    }
}
