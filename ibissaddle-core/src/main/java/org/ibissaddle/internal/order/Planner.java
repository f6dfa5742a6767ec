package org.ibissaddle.internal.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.internal.membership.Rendezvous;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.note.Adapter;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.order.FencingToken;
import org.ibissaddle.order.Order;
import org.ibissaddle.order.OrderInputs;
import org.ibissaddle.order.OrderOutcome;
import org.ibissaddle.order.OrderPlanner;

/** Plans orders from published data and residency. */
public final class Planner implements OrderPlanner {
    private static final long VALID_MS = 2_000;
    private static final long REASSERT_MS = 30_000;
    private static final long UNLOAD_WAIT_MS = 30_000;
    private static final long LONG_UNLOAD_WAIT_MS = 2 * MAX_PAUSE_MS;
    private static final long MIN_SLOT_MS = 2_000;
    private static final double SLOT_MARGIN = 1.25;
    private static final double PEAK_LOAD = 0.8;

    private final InstanceId self;
    private final Region region;
    private final Map<String, Long> orderedAtMs = new HashMap<>();
    private final Map<ServerId, FencingToken> refused = new HashMap<>();
    private final Map<ServerId, Long> giverSinceMs = new HashMap<>();
    private long slotDone = -1;

    /**
     * Creates the planner of an instance.
     *
     * @param self the instance
     * @param region its region
     */
    public Planner(InstanceId self, Region region) {
        this.self = self;
        this.region = region;
    }

    @Override
    public List<Order> plan(OrderInputs inputs, long nowMs) {
        FencingToken token =
                FencingToken.of(inputs.note().number(), inputs.list().revision());
        List<ServerView> engines = engines(inputs);
        Set<ServerId> mine = mine(engines, inputs.list(), nowMs);
        List<Order> orders = new ArrayList<>();
        nextLoad(engines, inputs, token, nowMs)
                .filter(order -> mine.contains(order.server()))
                .ifPresent(orders::add);
        for (ServerView engine : engines) {
            if (mine.contains(engine.id()) && inputs.noteFresh()) {
                unloads(engine, inputs, token, nowMs, orders);
            }
        }
        orders.removeIf(order -> held(order, nowMs));
        orders.forEach(order -> orderedAtMs.put(key(order), nowMs));
        return orders;
    }

    /** Lists the engines that answer; residency of one that never did is not known. */
    private static List<ServerView> engines(OrderInputs inputs) {
        List<ServerView> engines = new ArrayList<>();
        for (ServerView server : inputs.fleet().servers()) {
            Pool pool = inputs.note().pools().get(server.pool());
            boolean heard = server.load().reportedAtMs() > 0;
            if (pool != null && pool.kind() == PoolKind.MODEL && server.health() == Health.LIVE && heard) {
                engines.add(server);
            }
        }
        return engines;
    }

    private Set<ServerId> mine(List<ServerView> engines, FleetList list, long nowMs) {
        Set<ServerId> mine = new HashSet<>();
        for (ServerView engine : engines) {
            if (giver(engine, list).filter(self::equals).isPresent()) {
                mine.add(engine.id());
                giverSinceMs.putIfAbsent(engine.id(), nowMs);
            }
        }
        giverSinceMs.keySet().retainAll(mine);
        return mine;
    }

    /** Chooses the giver from the list alone, so that instances with the same list agree. */
    private static Optional<InstanceId> giver(ServerView engine, FleetList list) {
        List<InstanceId> inZone = new ArrayList<>();
        List<InstanceId> inRegion = new ArrayList<>();
        for (ListEntry entry : list.entries()) {
            boolean instance = entry.kind() == ListEntry.Kind.INSTANCE && !entry.leaving();
            if (!instance || !entry.region().equals(engine.region())) {
                continue;
            }
            InstanceId id = new InstanceId(entry.name());
            inRegion.add(id);
            if (entry.zone().equals(engine.zone())) {
                inZone.add(id);
            }
        }
        return Rendezvous.choose(engine.id().name(), inZone.isEmpty() ? inRegion : inZone);
    }

    /**
     * Chooses the one load of the present slot. Slots are as long as a load takes at the region's share of the store,
     * and the engines that lack something take turns, so that the givers of a region need not agree.
     */
    private Optional<Order> nextLoad(List<ServerView> engines, OrderInputs inputs, FencingToken token, long nowMs) {
        List<Load> missing = new ArrayList<>();
        for (ServerView engine : engines) {
            missing(engine, inputs, engines).ifPresent(missing::add);
        }
        if (missing.isEmpty()) {
            return Optional.empty();
        }
        missing.sort(Comparator.comparingLong(Load::copies)
                .thenComparing(load -> load.engine().id()));
        if (missing.getFirst().copies() == 0) {
            missing.removeIf(load -> load.copies() > 0);
        }
        long bytes = missing.stream().mapToLong(Load::bytes).max().orElse(0);
        long slotMs = Math.max(MIN_SLOT_MS, Math.round(SLOT_MARGIN * 1_000 * bytes / share(inputs.note())));
        long slot = nowMs / slotMs;
        if (slot == slotDone) {
            return Optional.empty();
        }
        Load load = missing.get((int) (slot % missing.size()));
        Order order = new Order(
                load.engine().id(),
                load.engine().address(),
                Order.Kind.LOAD,
                load.model(),
                load.adapter(),
                token,
                nowMs + VALID_MS);
        if (giver(load.engine(), inputs.list()).filter(self::equals).isPresent()) {
            slotDone = slot;
        }
        return Optional.of(order);
    }

    /** Bytes per second that loads of this region may take: an even share of the store, within the link's budget. */
    private double share(ReleaseNote note) {
        double share = note.store().bytesPerSecond()
                / (double) Math.max(1, note.regions().size());
        Optional<Region> store = note.store().region();
        if (store.isPresent() && !store.get().equals(region)) {
            Optional<Link> link = note.link(store.get(), region);
            double budget = link.map(
                            one -> one.bytesPerSecond() * (1 - note.spill().linkShare()))
                    .orElse(share);
            share = Math.min(share, Math.max(1, budget));
        }
        return share;
    }

    private record Load(ServerView engine, ModelId model, Optional<AdapterId> adapter, long copies, long bytes) {}

    private static Optional<Load> missing(ServerView engine, OrderInputs inputs, List<ServerView> engines) {
        ReleaseNote note = inputs.note();
        Pool pool = note.pools().get(engine.pool());
        boolean empty = engine.models().isEmpty();
        if (!inputs.noteFresh() && !empty) {
            return Optional.empty();
        }
        boolean peak = inputs.fleet().self().load() > PEAK_LOAD;
        Optional<Load> best = Optional.empty();
        for (ModelId model : new TreeSet<>(pool.models())) {
            if (engine.models().contains(model)) {
                continue;
            }
            long copies =
                    engines.stream().filter(one -> one.models().contains(model)).count();
            boolean better = best.isEmpty() || copies < best.get().copies();
            if (better && (copies == 0 || empty || !peak)) {
                best = Optional.of(new Load(
                        engine, model, Optional.empty(), copies, note.store().bytesPerModel()));
            }
        }
        for (Adapter adapter : note.adapters().values()) {
            boolean lacks = engine.models().contains(adapter.model())
                    && pool.models().contains(adapter.model())
                    && !engine.adapters().contains(adapter.id());
            if (lacks && best.isEmpty()) {
                long copies = engines.stream()
                        .filter(one -> one.adapters().contains(adapter.id()))
                        .count();
                best = Optional.of(new Load(
                        engine,
                        adapter.model(),
                        Optional.of(adapter.id()),
                        copies,
                        note.store().bytesPerAdapter()));
            }
        }
        return best;
    }

    /** Unloads what the note does not declare, once every giver with an older note must have learnt of it. */
    private void unloads(ServerView engine, OrderInputs inputs, FencingToken token, long nowMs, List<Order> orders) {
        Pool pool = inputs.note().pools().get(engine.pool());
        long waitMs = pool.checksTokens() ? UNLOAD_WAIT_MS : LONG_UNLOAD_WAIT_MS;
        long sinceMs = Math.max(inputs.noteSinceMs(), giverSinceMs.get(engine.id()));
        if (nowMs - sinceMs < waitMs || !engine.models().containsAll(pool.models())) {
            return;
        }
        for (ModelId model : new TreeSet<>(engine.models())) {
            if (!pool.models().contains(model)) {
                orders.add(new Order(
                        engine.id(),
                        engine.address(),
                        Order.Kind.UNLOAD,
                        model,
                        Optional.empty(),
                        token,
                        nowMs + VALID_MS));
            }
        }
    }

    private boolean held(Order order, long nowMs) {
        FencingToken higher = refused.get(order.server());
        boolean fenced = higher != null && order.token().compareTo(higher) <= 0;
        Long lastMs = orderedAtMs.get(key(order));
        return fenced || (lastMs != null && nowMs - lastMs < REASSERT_MS);
    }

    private static String key(Order order) {
        return order.server() + " " + order.kind() + " " + order.model() + " "
                + order.adapter().map(AdapterId::name).orElse("");
    }

    @Override
    public void outcome(Order order, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.STALE_TOKEN) {
            refused.put(order.server(), order.token());
        }
        orderedAtMs.values().removeIf(at -> nowMs - at > REASSERT_MS);
    }
}
