package org.ibissaddle.backend;

import java.util.Optional;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.ServiceSpec;

/** Derives from the estimated cost of a request how long it may wait for a server and how much of it it uses. */
public final class QueueTerms {
    /** Fraction of the objective that a request may wait in any case, also if no prediction leaves time for it. */
    private static final double MIN_WAIT_FRACTION = 0.6;
    /** Fraction of the timeout that a request may wait, so that time is left for a second attempt. */
    private static final double MAX_WAIT_FRACTION = 0.5;

    private final BackendRegistry backends;

    /**
     * Creates the terms of a region.
     *
     * @param backends its servers
     */
    public QueueTerms(BackendRegistry backends) {
        this.backends = backends;
    }

    /**
     * A request that may have to wait.
     *
     * @param service the service
     * @param demand resources that it needs
     * @param terms priority and objective
     * @param workspace key of its workspace, empty for none
     * @param kind kind of the request, such as the name of its route
     * @param deadlineMs time in milliseconds until which its response has to be complete
     */
    public record Request(
            String service, RequestDemand demand, RequestTerms terms, String workspace, String kind, long deadlineMs) {}

    /**
     * Returns what the order of the queue depends on.
     *
     * @param request the request
     * @return its terms in the queue
     */
    public QueueOrder.Waiter of(Request request) {
        RequestCost cost = backends.requestCost(request.service(), request.demand());
        RequestTerms terms = request.terms();
        long timeoutMs = request.deadlineMs() - terms.arrivedMs();
        long giveUpAtMs = Math.min(
                request.deadlineMs() - minServiceMs(request.service(), cost),
                terms.arrivedMs() + Math.round(timeoutMs * MAX_WAIT_FRACTION));
        long inTimeUntilMs = Math.max(
                terms.arrivedMs() + Math.round(terms.objectiveMs() * MIN_WAIT_FRACTION),
                terms.objectiveAtMs() - firstEventMs(request.service(), cost));
        return new QueueOrder.Waiter(
                request.workspace(),
                request.kind(),
                terms.priority(),
                capacityMs(request.service(), cost),
                terms.arrivedMs(),
                Math.min(inTimeUntilMs, giveUpAtMs),
                giveUpAtMs);
    }

    /**
     * Returns the terms of a request of a deployment without workspaces, where nothing has to be shared fairly: by
     * priority and arrival, and only as long as the response can be in time.
     *
     * @param request the request
     * @return its terms in the queue
     */
    public QueueOrder.Waiter inOrderOfArrival(Request request) {
        RequestTerms terms = request.terms();
        long maxWaitMs = Math.min(
                Math.round(terms.objectiveMs() * MIN_WAIT_FRACTION),
                Math.round((request.deadlineMs() - terms.arrivedMs()) * MAX_WAIT_FRACTION));
        long untilMs = terms.arrivedMs() + maxWaitMs;
        return new QueueOrder.Waiter("", "", terms.priority(), 1, terms.arrivedMs(), untilMs, untilMs);
    }

    /** Time to the first event at a server without other requests; for a plain service the response time. */
    private long firstEventMs(String service, RequestCost cost) {
        EngineSpeedEstimate speed = backends.speed(service);
        return Math.round(
                engine(service).isEmpty()
                        ? speed.firstEventMs(0).orElse(0)
                        : speed.prefillMs((double) cost.maxPrefillTokens()) + speed.idleGapMs());
    }

    /** Minimum time to a complete response at a server without other requests. */
    private long minServiceMs(String service, RequestCost cost) {
        EngineSpeedEstimate speed = backends.speed(service);
        return engine(service)
                .map(engine -> Math.round(speed.prefillMs((double) cost.prefillTokens())
                        + decodeMs(speed, engine, cost.minOutputTokens())))
                .orElseGet(() -> firstEventMs(service, cost));
    }

    /** Time for which a server could do nothing else: prefill, and the share of one slot while it writes. */
    private double capacityMs(String service, RequestCost cost) {
        EngineSpeedEstimate speed = backends.speed(service);
        double usedMs = engine(service)
                .map(engine -> speed.prefillMs((double) cost.prefillTokens())
                        + decodeMs(speed, engine, cost.outputTokens()) / Math.max(1, engine.slots()))
                .orElse(1.0);
        return Math.max(1, usedMs);
    }

    private static double decodeMs(EngineSpeedEstimate speed, EngineSpec engine, int tokens) {
        return speed.idleGapMs() * tokens / Math.max(1, engine.tokensPerEvent());
    }

    private Optional<EngineSpec> engine(String service) {
        return backends.serviceSpec(service).flatMap(ServiceSpec::engine);
    }
}
