package org.ibissaddle.backend;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.HashMixer;
import org.ibissaddle.route.ServiceSpec;

/** Selects the server with the lowest cost for a request. Confined to one thread. */
final class ServerSelector {
    /** Number of events of a typical response, used to compare regions. */
    static final int TYPICAL_RESPONSE_EVENTS = 10;

    /** Share of the maximum request rate of a cold server that all instances of a region use in total. */
    private static final double COLD_RATE_SHARE = 0.8;
    /** Share of an engine's KV cache that requests in flight may use. The rest holds shared prompt parts. */
    private static final double KV_CACHE_SHARE = 0.85;
    /**
     * Share of the uncached shared tokens that is not charged to the preferred server of a prompt, because it probably
     * received them from another instance.
     */
    private static final double PREFERRED_SERVER_DISCOUNT = 0.5;
    /** Cost of each running request, expressed in prefill tokens. Weighs load against prefill. */
    private static final double PREFILL_TOKENS_PER_RUNNING_REQUEST = 60;
    /**
     * Time constant in milliseconds with which the estimated slowdown of a server decays. A random value for each
     * instance, so that the instances return to a server that was slow one after the other.
     */
    private static final double MIN_SLOWDOWN_DECAY_MS = 700;

    private static final double MAX_SLOWDOWN_DECAY_MS = 1_300;
    /**
     * Servers whose cost exceeds the lowest by less than this fraction, or by less than the cost of two running
     * requests, count as equal: the inputs of the cost are older than that difference.
     */
    private static final double NEAR_EQUAL_FRACTION = 0.1;

    private static final int NEAR_EQUAL_RUNNING_REQUESTS = 2;
    private static final int INITIAL_CANDIDATES = 16;
    /** Added to the cost of a server whose prefill budget the request exceeds, so that the others come first. */
    private static final double OVER_BUDGET_COST = 1e9;
    /** Multiple of the predicted time to the first event that a held request still has when it is sent at last. */
    private static final double HELD_SAFETY_FACTOR = 1.25;
    /** Interval in milliseconds at which a held request is placed again. */
    private static final long HELD_RETRY_MS = 25;

    private final Region region;
    private final Optional<RandomGenerator> random;
    private final double slowdownDecayMs;
    /** Costs of the candidates of the current choice; reused, since each request makes a choice. */
    private double[] costs = new double[INITIAL_CANDIDATES];
    /** Shortest predicted time to the first event of the current request in milliseconds. */
    private double earliestFirstEventMs;

    /**
     * A request for which a server is selected.
     *
     * @param service name of the service
     * @param spec its configuration, empty if it is not declared
     * @param demand resources that the request needs
     * @param terms priority and objective
     * @param cacheSource server from which the KV cache can be copied, empty for none
     */
    record Request(
            String service,
            Optional<ServiceSpec> spec,
            RequestDemand demand,
            RequestTerms terms,
            Optional<BackendServer> cacheSource) {}

    /** Creates a selector that chooses the cheapest server if there is no source of randomness. */
    ServerSelector(Region region, Optional<RandomGenerator> random) {
        this.region = region;
        this.random = random;
        this.slowdownDecayMs = random.map(source -> source.nextDouble(MIN_SLOWDOWN_DECAY_MS, MAX_SLOWDOWN_DECAY_MS))
                .orElse((MIN_SLOWDOWN_DECAY_MS + MAX_SLOWDOWN_DECAY_MS) / 2);
    }

    /** Returns the time constant in milliseconds with which the estimated slowdown of a server decays. */
    double slowdownDecayMs() {
        return slowdownDecayMs;
    }

    /** Selects one of the servers that accept requests, of which there is at least one. */
    ServerSelectionResult select(
            List<BackendServer> accepting,
            Request request,
            EngineSpeedEstimate speed,
            ColdRateShare coldRateShare,
            long nowMs) {
        List<BackendServer> candidates = withoutEjectedUnlessAllAre(accepting, nowMs);
        costs = costs.length < candidates.size() ? new double[candidates.size() * 2] : costs;
        Optional<EngineSpec> engine = request.spec().flatMap(ServiceSpec::engine);
        double coldRate =
                COLD_RATE_SHARE * request.spec().map(ServiceSpec::coldPerSecond).orElse(0.0);
        double typicalOthers = typicalOtherInstancesRequests(candidates, nowMs);
        double lowestCost = Double.MAX_VALUE;
        earliestFirstEventMs = Double.MAX_VALUE;
        BackendServer preferredServer =
                request.demand().promptParts().isEmpty() ? null : preferredServer(request.demand(), candidates);
        for (int i = 0; i < candidates.size(); i++) {
            BackendServer server = candidates.get(i);
            costs[i] = Double.MAX_VALUE;
            boolean full = server.estimatedLoad(nowMs) >= server.entry().slots();
            boolean coldRateExceeded = server.isCold(nowMs)
                    && !server.admitsColdRequest(
                            coldRate * coldRateShare.of(server.entry().id()), nowMs);
            if (full || coldRateExceeded || !fitsKvCache(server, request.demand(), engine)) {
                continue;
            }
            OptionalInt others = server.otherInstancesRequests(nowMs);
            double othersLoad = others.isPresent() ? others.getAsInt() : typicalOthers;
            costs[i] = engine.isEmpty()
                    ? slowdown(server, speed, nowMs)
                            * (server.inFlight() + othersLoad + 1)
                            / Math.max(1, server.entry().slots())
                    : engineCost(server, othersLoad, request, server == preferredServer, engine.get(), speed, nowMs);
            lowestCost = Math.min(lowestCost, costs[i]);
        }
        if (lowestCost == Double.MAX_VALUE) {
            return new ServerSelectionResult.AtCapacity("all servers of service " + request.service() + " in region "
                    + region + " have reached their load limit or the rate limit for cold servers");
        }
        if (lowestCost >= OVER_BUDGET_COST) {
            long sendAtMs = request.terms().objectiveAtMs()
                    - HELD_RETRY_MS
                    - Math.round(earliestFirstEventMs * HELD_SAFETY_FACTOR);
            if (nowMs < sendAtMs) {
                return new ServerSelectionResult.Held(
                        sendAtMs,
                        Math.round(earliestFirstEventMs),
                        "the prefill in flight at all servers of service " + request.service() + " in region " + region
                                + " leaves no room for a long prompt beside short ones");
            }
            lowestCost = withoutOverBudgetCost(candidates.size());
        }
        BackendServer selected = chooseNearEqual(candidates, lowestCost, engine.isPresent() ? nearEqualMs(speed) : 0);
        if (engine.isPresent() && request.demand().promptTokens() > 0) {
            recordChoice(request, selected, speed, nowMs);
        }
        long waitMs = engine.isPresent() ? Math.round(predictWaitMs(selected, request.demand(), speed, nowMs)) : 0;
        return new ServerSelectionResult.Selected(
                selected,
                waitMs,
                request.cacheSource().filter(from -> selected.tokensToCopy(request.demand(), from) > 0));
    }

    /** Makes the costs comparable again when the request exceeds the budget of every server; returns the lowest. */
    private double withoutOverBudgetCost(int size) {
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            costs[i] = costs[i] == Double.MAX_VALUE ? costs[i] : costs[i] - OVER_BUDGET_COST;
            lowestCost = Math.min(lowestCost, costs[i]);
        }
        return lowestCost;
    }

    private void recordChoice(Request request, BackendServer selected, EngineSpeedEstimate speed, long nowMs) {
        int uncachedTokens = selected.uncachedTokens(request.demand());
        speed.observeDemand(uncachedTokens, request.demand().outputTokens());
        if (uncachedTokens <= PrefillBudget.CHUNK_TOKENS && request.terms().hasObjective()) {
            speed.prefillBudget().recordShort(request.terms(), nowMs);
        }
    }

    private static double nearEqualMs(EngineSpeedEstimate speed) {
        return speed.prefillMs(NEAR_EQUAL_RUNNING_REQUESTS * PREFILL_TOKENS_PER_RUNNING_REQUEST);
    }

    /**
     * Chooses the cheaper one of two random candidates whose costs are close to the lowest. Many instances that learn
     * of the same idle or fast server then do not all select it. Without a source of randomness, chooses the cheapest.
     */
    private BackendServer chooseNearEqual(List<BackendServer> candidates, double lowestCost, double minTolerance) {
        double limit =
                random.isEmpty() ? lowestCost : lowestCost + Math.max(minTolerance, lowestCost * NEAR_EQUAL_FRACTION);
        int nearEqual = 0;
        for (int i = 0; i < candidates.size(); i++) {
            nearEqual += costs[i] <= limit ? 1 : 0;
        }
        if (random.isEmpty() || nearEqual == 1) {
            return candidates.get(indexOfNearEqual(candidates.size(), lowestCost, 0));
        }
        int first = indexOfNearEqual(candidates.size(), limit, random.get().nextInt(nearEqual));
        int second = indexOfNearEqual(candidates.size(), limit, random.get().nextInt(nearEqual));
        return candidates.get(costs[second] < costs[first] ? second : first);
    }

    /** Returns the index of the n-th candidate whose cost does not exceed a limit. */
    private int indexOfNearEqual(int size, double limit, int n) {
        int remaining = n;
        for (int i = 0; i < size; i++) {
            if (costs[i] <= limit && remaining-- == 0) {
                return i;
            }
        }
        throw new IllegalArgumentException("no candidate " + n + " with a cost of at most " + limit);
    }

    /**
     * Returns the average number of requests of other instances at the candidates that have reported their load
     * recently. It is assumed for the others: taking them for idle would draw the requests of all instances to the
     * servers about which least is known.
     */
    private double typicalOtherInstancesRequests(List<BackendServer> candidates, long nowMs) {
        int requests = 0;
        int reports = 0;
        for (BackendServer server : candidates) {
            OptionalInt others = server.otherInstancesRequests(nowMs);
            if (others.isPresent()) {
                requests += others.getAsInt();
                reports++;
            }
        }
        return reports == 0 ? 0 : (double) requests / reports;
    }

    /** Excludes ejected servers, unless there are no others. */
    private static List<BackendServer> withoutEjectedUnlessAllAre(List<BackendServer> accepting, long nowMs) {
        int ejected = 0;
        for (BackendServer server : accepting) {
            ejected += server.isEjected(nowMs) ? 1 : 0;
        }
        if (ejected == 0 || ejected == accepting.size()) {
            return accepting;
        }
        List<BackendServer> healthy = new ArrayList<>(accepting);
        healthy.removeIf(server -> server.isEjected(nowMs));
        return healthy;
    }

    /** Returns how much longer work currently takes on a server than on a typical server of its service. */
    double slowdown(BackendServer server, EngineSpeedEstimate service, long nowMs) {
        if (server.inFlight() > 0) {
            long tokensAhead = server.backlogTokens() + server.othersWaitingTokens(service, nowMs);
            double expectedMs = service.firstEventMs(tokensAhead).orElse(service.prefillMs((double) tokensAhead));
            server.speed().observeStall((double) server.stalledMs(nowMs), expectedMs, slowdownDecayMs, nowMs);
        }
        return server.speed().slowdown(slowdownDecayMs, nowMs);
    }

    /** Predicts the time in milliseconds to prefill the backlog and the prompt and to stream a typical response. */
    private double predictWaitMs(BackendServer server, RequestDemand demand, EngineSpeedEstimate speed, long nowMs) {
        double unprefilledTokens = (double) server.backlogTokens() + server.uncachedTokens(demand);
        double slowdown = slowdown(server, speed, nowMs);
        return slowdown * speed.prefillMs(unprefilledTokens)
                + TYPICAL_RESPONSE_EVENTS * server.expectedEventGapMs(speed.idleGapMs() * slowdown, nowMs);
    }

    /**
     * Returns the delay in milliseconds that a request would experience and cause at an engine: the prefill ahead of
     * it, its own, that of the running requests in equivalent tokens, and its first event. The cost is higher than any
     * delay if the request exceeds the prefill budget, and unlimited if the backlog of this instance is too long.
     */
    private double engineCost(
            BackendServer server,
            double othersLoad,
            Request request,
            boolean isPreferred,
            EngineSpec engine,
            EngineSpeedEstimate speed,
            long nowMs) {
        RequestDemand demand = request.demand();
        double slowdown = slowdown(server, speed, nowMs);
        if (slowdown * speed.prefillMs((double) server.backlogTokens()) > PrefillBudget.MAX_BACKLOG_MS) {
            return Double.MAX_VALUE;
        }
        int cachedTokens = server.cachedTokens(demand);
        int copiedTokens = request.cacheSource().isPresent()
                ? server.tokensToCopy(demand, request.cacheSource().get())
                : 0;
        RequestCost requestCost = RequestCost.of(demand, cachedTokens);
        int uncachedSharedTokens = Math.max(0, demand.sharedTokens() - cachedTokens - copiedTokens);
        double tokensToPrefill = requestCost.prefillTokens()
                - copiedTokens
                - (isPreferred ? uncachedSharedTokens * PREFERRED_SERVER_DISCOUNT : 0);
        double othersTokens = server.othersPrefillTokens(othersLoad, speed, engine.tokensPerEvent(), nowMs);
        double aheadMs = slowdown * speed.prefillMs(server.backlogTokens() + othersTokens);
        double prefillMs = slowdown * speed.prefillMs(tokensToPrefill);
        double copyMs = copiedTokens == 0 ? 0 : engine.copyMs(copiedTokens);
        double firstEventMs = copyMs + aheadMs + prefillMs + slowdown * speed.idleGapMs();
        earliestFirstEventMs = Math.min(earliestFirstEventMs, firstEventMs);
        double load = server.inFlight() + othersLoad;
        double cost = firstEventMs + slowdown * speed.prefillMs(load * PREFILL_TOKENS_PER_RUNNING_REQUEST);
        boolean overBudget = tokensToPrefill > PrefillBudget.CHUNK_TOKENS
                && request.terms().hasObjective()
                && aheadMs + prefillMs > speed.prefillBudget().limitMs(request.terms(), prefillMs, nowMs);
        return overBudget ? cost + OVER_BUDGET_COST : cost;
    }

    private static boolean fitsKvCache(BackendServer server, RequestDemand demand, Optional<EngineSpec> engine) {
        if (engine.isEmpty() || server.inFlight() == 0) {
            return true;
        }
        long reservedTokens = server.reservedKvTokens() + server.uncachedTokens(demand) + demand.outputTokens();
        return reservedTokens <= engine.get().kvTokens() * KV_CACHE_SHARE;
    }

    /** Returns the server that all instances prefer for a prompt: the highest rendezvous hash of its first part. */
    private static BackendServer preferredServer(RequestDemand demand, List<BackendServer> candidates) {
        return Collections.max(
                candidates,
                Comparator.comparingLong(
                        server -> rendezvousHash(demand, server.entry().id())));
    }

    static long rendezvousHash(RequestDemand demand, ServerId server) {
        long part = demand.promptParts().getFirst().id().hashCode();
        return HashMixer.mix(part * 31 + server.name().hashCode());
    }
}
