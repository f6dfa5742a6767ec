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
import org.ibissaddle.internal.membership.RendezvousHash;
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
public final class DefaultOrderPlanner implements OrderPlanner {
    private static final long ORDER_VALIDITY_MS = 2_000;
    private static final long REPEAT_INTERVAL_MS = 30_000;
    private static final long UNLOAD_DELAY_MS = 30_000;
    private static final long UNFENCED_UNLOAD_DELAY_MS = 2 * MAX_PAUSE_MS;
    private static final long MIN_LOAD_SLOT_MS = 2_000;
    private static final double LOAD_SLOT_MARGIN = 1.25;
    private static final double PEAK_LOAD = 0.8;

    private final InstanceId self;
    private final Region region;
    private final Map<String, Long> lastOrderedAtMs = new HashMap<>();
    private final Map<ServerId, FencingToken> rejectedTokens = new HashMap<>();
    private final Map<ServerId, Long> assignedSinceMs = new HashMap<>();
    private long lastLoadSlot = -1;

    /**
     * Creates the planner of an instance.
     *
     * @param self the instance
     * @param region its region
     */
    public DefaultOrderPlanner(InstanceId self, Region region) {
        this.self = self;
        this.region = region;
    }

    @Override
    public List<Order> plan(OrderInputs inputs, long nowMs) {
        FencingToken token =
                FencingToken.of(inputs.note().number(), inputs.list().revision());
        List<ServerView> engines = engines(inputs);
        Set<ServerId> assigned = assigned(engines, inputs.list(), nowMs);
        List<Order> orders = new ArrayList<>();
        nextLoad(engines, inputs, token, nowMs)
                .filter(order -> assigned.contains(order.server()))
                .ifPresent(orders::add);
        for (ServerView engine : engines) {
            if (assigned.contains(engine.id()) && inputs.noteFresh()) {
                addUnloads(engine, inputs, token, nowMs, orders);
            }
        }
        orders.removeIf(order -> isSuppressed(order, nowMs));
        orders.forEach(order -> lastOrderedAtMs.put(orderKey(order), nowMs));
        return orders;
    }

    /** Returns the live model engines that have sent a load report; resident models of the others are unknown. */
    private static List<ServerView> engines(OrderInputs inputs) {
        List<ServerView> engines = new ArrayList<>();
        for (ServerView server : inputs.fleet().servers()) {
            Pool pool = inputs.note().pools().get(server.pool());
            boolean hasReported = server.load().reportedAtMs() > 0;
            if (pool != null && pool.kind() == PoolKind.MODEL && server.health() == Health.LIVE && hasReported) {
                engines.add(server);
            }
        }
        return engines;
    }

    /** Returns the engines that this instance is responsible for and records since when. */
    private Set<ServerId> assigned(List<ServerView> engines, FleetList list, long nowMs) {
        Set<ServerId> assigned = new HashSet<>();
        for (ServerView engine : engines) {
            if (responsibleInstance(engine, list).filter(self::equals).isPresent()) {
                assigned.add(engine.id());
                assignedSinceMs.putIfAbsent(engine.id(), nowMs);
            }
        }
        assignedSinceMs.keySet().retainAll(assigned);
        return assigned;
    }

    /**
     * Chooses the instance responsible for an engine from the fleet list alone, so that instances with the same list
     * agree.
     */
    private static Optional<InstanceId> responsibleInstance(ServerView engine, FleetList list) {
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
        return RendezvousHash.choose(engine.id().name(), inZone.isEmpty() ? inRegion : inZone);
    }

    /**
     * Chooses the single load order of the current time slot. A slot is as long as a load takes at the region's share
     * of the store bandwidth. The engines with missing models or adapters take turns by slot number, so the instances
     * of a region need no coordination.
     */
    private Optional<Order> nextLoad(List<ServerView> engines, OrderInputs inputs, FencingToken token, long nowMs) {
        List<LoadCandidate> candidates = new ArrayList<>();
        for (ServerView engine : engines) {
            nextMissing(engine, inputs, engines).ifPresent(candidates::add);
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        candidates.sort(Comparator.comparingLong(LoadCandidate::copies)
                .thenComparing(load -> load.engine().id()));
        if (candidates.getFirst().copies() == 0) {
            candidates.removeIf(load -> load.copies() > 0);
        }
        long bytes = candidates.stream().mapToLong(LoadCandidate::bytes).max().orElse(0);
        long slotMs = Math.max(
                MIN_LOAD_SLOT_MS, Math.round(LOAD_SLOT_MARGIN * 1_000 * bytes / loadBytesPerSecond(inputs.note())));
        long slot = nowMs / slotMs;
        if (slot == lastLoadSlot) {
            return Optional.empty();
        }
        LoadCandidate load = candidates.get((int) (slot % candidates.size()));
        Order order = new Order(
                load.engine().id(),
                load.engine().address(),
                Order.Kind.LOAD,
                load.model(),
                load.adapter(),
                token,
                nowMs + ORDER_VALIDITY_MS);
        if (responsibleInstance(load.engine(), inputs.list())
                .filter(self::equals)
                .isPresent()) {
            lastLoadSlot = slot;
        }
        return Optional.of(order);
    }

    /**
     * Returns the bandwidth for loads in this region: an even share of the store bandwidth, capped by the link budget.
     */
    private double loadBytesPerSecond(ReleaseNote note) {
        double bandwidth = note.store().bytesPerSecond()
                / (double) Math.max(1, note.regions().size());
        Optional<Region> store = note.store().region();
        if (store.isPresent() && !store.get().equals(region)) {
            Optional<Link> link = note.link(store.get(), region);
            double budget = link.map(
                            route -> route.bytesPerSecond() * (1 - note.spill().linkShare()))
                    .orElse(bandwidth);
            bandwidth = Math.min(bandwidth, Math.max(1, budget));
        }
        return bandwidth;
    }

    private record LoadCandidate(
            ServerView engine, ModelId model, Optional<AdapterId> adapter, long copies, long bytes) {}

    /**
     * Returns the missing model version or adapter that this engine should load next: the model version with the fewest
     * copies in the region, or an adapter if no model version is due.
     */
    private static Optional<LoadCandidate> nextMissing(
            ServerView engine, OrderInputs inputs, List<ServerView> engines) {
        ReleaseNote note = inputs.note();
        Pool pool = note.pools().get(engine.pool());
        boolean empty = engine.models().isEmpty();
        if (!inputs.noteFresh() && !empty) {
            return Optional.empty();
        }
        boolean peak = inputs.fleet().self().load() > PEAK_LOAD;
        Optional<LoadCandidate> best = Optional.empty();
        for (ModelId model : new TreeSet<>(pool.models())) {
            if (engine.models().contains(model)) {
                continue;
            }
            long copies = engines.stream()
                    .filter(other -> other.models().contains(model))
                    .count();
            boolean better = best.isEmpty() || copies < best.get().copies();
            if (better && (copies == 0 || empty || !peak)) {
                best = Optional.of(new LoadCandidate(
                        engine, model, Optional.empty(), copies, note.store().bytesPerModel()));
            }
        }
        for (Adapter adapter : note.adapters().values()) {
            boolean lacks = engine.models().contains(adapter.model())
                    && pool.models().contains(adapter.model())
                    && !engine.adapters().contains(adapter.id());
            if (lacks && best.isEmpty()) {
                long copies = engines.stream()
                        .filter(other -> other.adapters().contains(adapter.id()))
                        .count();
                best = Optional.of(new LoadCandidate(
                        engine,
                        adapter.model(),
                        Optional.of(adapter.id()),
                        copies,
                        note.store().bytesPerAdapter()));
            }
        }
        return best;
    }

    /**
     * Adds unload orders for models that the release note does not declare, after a delay within which every instance
     * with an older note must have received the newer one.
     */
    private void addUnloads(ServerView engine, OrderInputs inputs, FencingToken token, long nowMs, List<Order> orders) {
        Pool pool = inputs.note().pools().get(engine.pool());
        long delayMs = pool.checksTokens() ? UNLOAD_DELAY_MS : UNFENCED_UNLOAD_DELAY_MS;
        long sinceMs = Math.max(inputs.noteSinceMs(), assignedSinceMs.get(engine.id()));
        if (nowMs - sinceMs < delayMs || !engine.models().containsAll(pool.models())) {
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
                        nowMs + ORDER_VALIDITY_MS));
            }
        }
    }

    /** Returns whether an engine has rejected the order's token or the same order was sent recently. */
    private boolean isSuppressed(Order order, long nowMs) {
        FencingToken rejected = rejectedTokens.get(order.server());
        boolean fenced = rejected != null && order.token().compareTo(rejected) <= 0;
        Long lastMs = lastOrderedAtMs.get(orderKey(order));
        return fenced || (lastMs != null && nowMs - lastMs < REPEAT_INTERVAL_MS);
    }

    private static String orderKey(Order order) {
        return order.server() + " " + order.kind() + " " + order.model() + " "
                + order.adapter().map(AdapterId::name).orElse("");
    }

    @Override
    public void recordOutcome(Order order, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.STALE_TOKEN) {
            rejectedTokens.put(order.server(), order.token());
        }
        lastOrderedAtMs.values().removeIf(at -> nowMs - at > REPEAT_INTERVAL_MS);
    }
}
