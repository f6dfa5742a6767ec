package org.ibissaddle.internal.placement;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Binding;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.Tuning;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.placement.Work;

/** The production policy. Shared state is held in atomics; the fleet view is prepared once and replaced as a whole. */
public final class DefaultWeightedPolicy implements WeightedPolicy {
    private static final long MIN_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 30_000;
    private static final int MAX_NUMBER = 1 << 14;

    private final Tuning tuning;
    private final PrefixIndex prefixes;
    private final Chooser chooser;
    private final Spill spill = new Spill();
    private final Map<ServerId, ServerState> servers = new ConcurrentHashMap<>();
    private final Map<PoolId, PoolState> pools = new ConcurrentHashMap<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicReference<Snapshot> snapshot = new AtomicReference<>();

    /**
     * Creates a policy that knows nothing yet.
     *
     * @param tuning its constants
     */
    public DefaultWeightedPolicy(Tuning tuning) {
        this.tuning = tuning;
        prefixes = new PrefixIndex(tuning.prefixSlots());
        chooser = new Chooser(tuning, prefixes);
    }

    @Override
    public Placement place(Work work, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        Optional<Refusal> unbound = Binding.check(work.workspace().id(), work.visited(), note, fleet);
        if (unbound.isPresent()) {
            return new Placement.Refuse(unbound.get());
        }
        if (work.deadlineMs() <= nowMs) {
            return refuse(RefusalType.DEADLINE_PASSED, "the deadline of the request has passed");
        }
        PoolState pool = pool(work.pool());
        Snapshot now = snapshot(fleet, nowMs);
        Chooser.Choice choice = chooser.choose(work, now.candidates(work.pool(), work.model()), pool, nowMs, random);
        double target = Math.max(1, note.weights().firstTokenTargetMs());
        if (!work.forwarded()) {
            pool.arrived(nowMs);
        }
        if (choice.found()) {
            pool.observe(choice.firstTokenMs() / target, nowMs);
        }
        if (work.forwarded()) {
            Optional<Refusal> refusal = refuseForwarded(work, note, pool, nowMs);
            if (refusal.isPresent()) {
                return new Placement.Refuse(refusal.get());
            }
        } else if (tuning.spill()) {
            Optional<InstanceView> peer = remote(work, note, now, pool, choice, nowMs, random);
            if (peer.isPresent()) {
                return new Placement.Forward(peer.get());
            }
        }
        return local(work, choice, nowMs);
    }

    @Override
    public Running started(Work work, Placement placement, long nowMs) {
        return switch (placement) {
            case Placement.Serve serve -> served(work, serve.server(), nowMs);
            case Placement.Forward forward -> forwarded(work, forward.peer());
            case Placement.Refuse refuse -> Ended.INSTANCE;
        };
    }

    @Override
    public double predictedWaitMs(Work work, ReleaseNote note, FleetView fleet, long nowMs) {
        Candidates all = snapshot(fleet, nowMs).candidates(work.pool(), work.model());
        return chooser.best(work, all, pool(work.pool()), nowMs);
    }

    @Override
    public Forecast forecast(PoolId id, ReleaseNote note, FleetView fleet, long nowMs) {
        Snapshot now = snapshot(fleet, nowMs);
        Candidates all = now.candidates(id);
        PoolState pool = pool(id);
        double target = Math.max(1, note.weights().firstTokenTargetMs());
        double wait = 0;
        double spare = 0;
        double capacity = 0;
        for (Candidate c : all.live) {
            wait += c.firstTokenMs(0);
            spare += c.spareTokensPerSecond();
            capacity += c.tokensPerSecond();
        }
        double load = all.live.length == 0 ? 1 : wait / all.live.length / target;
        double offered = spill.sending(nowMs) ? 0 : spare - note.spill().remoteReserve() * capacity;
        return new Forecast(load, Math.max(0, offered), now.hitRate(id), pool.ejections.count(nowMs));
    }

    @Override
    public void cacheEvent(ServerId server, long block, boolean stored, long nowMs) {
        ServerState state = servers.get(server);
        if (state == null) {
            return;
        }
        state.cacheEvent();
        if (stored) {
            prefixes.add(block, state);
        } else {
            prefixes.evicted(block, state);
        }
    }

    @Override
    public void cacheGap(ServerId server) {
        ServerState state = servers.get(server);
        if (state != null) {
            state.cacheGap();
        }
    }

    private Placement local(Work work, Chooser.Choice choice, long nowMs) {
        if (!choice.found()) {
            return new Placement.Refuse(Refusal.of(
                            RefusalType.NO_SERVER,
                            "no server of pool \"" + work.pool() + "\" can take the request",
                            Fate.NOT_RUN)
                    .retryAt(nowMs + MIN_RETRY_MS));
        }
        double late = nowMs + choice.firstTokenMs() - work.deadlineMs();
        if (late > 0) {
            long pause = (long) Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, late));
            String message = "predicted wait of " + Math.round(choice.firstTokenMs()) + " ms in pool \"" + work.pool()
                    + "\" exceeds the deadline";
            return new Placement.Refuse(
                    Refusal.of(RefusalType.OVERLOADED, message, Fate.NOT_RUN).retryAt(nowMs + pause));
        }
        return new Placement.Serve(choice.server().view);
    }

    private Optional<InstanceView> remote(
            Work work,
            ReleaseNote note,
            Snapshot now,
            PoolState pool,
            Chooser.Choice choice,
            long nowMs,
            RandomGenerator random) {
        boolean refused = !choice.found() || nowMs + choice.firstTokenMs() > work.deadlineMs();
        double prefillMs = choice.found()
                ? choice.server().prefillMs(work.promptTokens())
                : work.promptTokens() * Costs.PREFILL / Costs.DEFAULT_CAPACITY * Costs.MS_PER_SECOND;
        double tokens = pool.expectedOutput(work.maxTokens());
        Spill.Local local = new Spill.Local(choice.firstTokenMs(), refused, prefillMs, tokens);
        return spill.target(work, note, now, pool, local, nowMs, random);
    }

    private Optional<Refusal> refuseForwarded(Work work, ReleaseNote note, PoolState pool, long nowMs) {
        Region from = work.visited().getLast();
        boolean full = pool.load() > 1 - note.spill().remoteReserve();
        if (!full && spill.region(from).direction.tryAccept(nowMs)) {
            return Optional.empty();
        }
        String message = "region takes no work from region \"" + from + "\" now";
        return Optional.of(
                Refusal.of(RefusalType.FORWARD_REFUSED, message, Fate.NOT_RUN).retryAt(nowMs + Direction.KEEP_MS));
    }

    private Running served(Work work, ServerView server, long nowMs) {
        ServerState state = state(server);
        PoolState pool = pool(work.pool());
        Snapshot now = snapshot.get();
        int most = now == null ? 0 : (int) (now.candidates(work.pool()).live.length * tuning.maxEjectedShare());
        ServedWork running = new ServedWork(work, state, pool, chooser.uncached(work, state), nowMs);
        running.ejection(tuning.failuresToEject(), tuning.ejectMs(), most);
        running.predicted(now == null ? 0 : predicted(now, work, state));
        running.begin();
        prefixes.add(work.prefix(), state);
        return running;
    }

    private double predicted(Snapshot now, Work work, ServerState state) {
        Candidate candidate = now.candidates(work.pool()).numbered(state.number);
        return candidate == null ? 0 : candidate.unscaledFirstTokenMs(chooser.uncached(work, state));
    }

    private Running forwarded(Work work, InstanceView peer) {
        PoolState pool = pool(work.pool());
        pool.sentAway();
        return new ForwardedWork(work, spill.region(peer.region()), pool.expectedOutput(work.maxTokens()));
    }

    private Snapshot snapshot(FleetView fleet, long nowMs) {
        Snapshot known = snapshot.get();
        if (known != null && known.isOf(fleet)) {
            return known;
        }
        Snapshot made = new Snapshot(fleet, this::state, nowMs);
        snapshot.set(made);
        forget(fleet);
        return made;
    }

    private void forget(FleetView fleet) {
        if (servers.size() > 2 * fleet.servers().size() + MAX_NUMBER / 64) {
            servers.keySet()
                    .retainAll(fleet.servers().stream().map(ServerView::id).toList());
        }
    }

    private ServerState state(ServerView view) {
        ServerState known = servers.get(view.id());
        if (known != null && known.isLifeOf(view)) {
            return known;
        }
        return servers.compute(
                view.id(),
                (id, old) -> old != null && old.isLifeOf(view)
                        ? old
                        : new ServerState(id, view.pool(), view.incarnation(), numbers.getAndIncrement() % MAX_NUMBER));
    }

    private PoolState pool(PoolId id) {
        PoolState known = pools.get(id);
        return known != null ? known : pools.computeIfAbsent(id, p -> new PoolState());
    }

    private static Placement refuse(RefusalType type, String message) {
        return new Placement.Refuse(Refusal.of(type, message, Fate.NOT_RUN));
    }
}
