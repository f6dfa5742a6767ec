package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.dispatch.RequestWaits;
import org.ibissaddle.quota.QuotaDecision;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.WorkspaceSpec;

/**
 * Charges one request to the quota of its workspace before it is placed for the first time; retries are not charged
 * again. Confined to the event loop.
 */
final class QuotaCharge {
    /** Fraction of the latency objective that a request may wait for tokens. */
    private static final double MAX_WAIT_FRACTION = 0.3;
    /** Time that a request may wait for tokens whatever its objective, milliseconds: a round trip between regions. */
    private static final long MIN_WAIT_MS = 150;

    private final GatewayCore core;
    private final RequestExchange exchange;
    private final IncomingRequest request;
    private final String requestId;
    private final RequestLog log;
    private Optional<WorkspaceSpec> pending = Optional.empty();
    private long cost;
    private OptionalLong retryAtMs = OptionalLong.empty();

    QuotaCharge(GatewayCore core, RequestExchange exchange, IncomingRequest request, String requestId, RequestLog log) {
        this.core = core;
        this.exchange = exchange;
        this.request = request;
        this.requestId = requestId;
        this.log = log;
    }

    /** Places the request when its quota admits it. The instance that forwarded a request has charged it. */
    void start(Route route, RequestDemand demand, long deadlineMs) {
        Optional<WorkspaceSpec> limited =
                exchange.workspace().filter(workspace -> workspace.quota().isLimited() && !request.forwarded());
        if (limited.isEmpty()) {
            exchange.place();
            return;
        }
        // A request that would be refused anyway must not use up tokens.
        if (!exchange.isStillWanted() || exchange.refuseIfCrashing()) {
            return;
        }
        log.waitingFor(RequestWaits.Cause.QUOTA);
        pending = limited;
        cost = limited.get().quota().cost(demand);
        long waitMs = Math.max(MIN_WAIT_MS, (long) (route.targetLatencyMs() * MAX_WAIT_FRACTION));
        core.quotaService().charge(exchange, limited.get(), cost, Math.min(request.arrivedMs() + waitMs, deadlineMs));
    }

    /** Called when the quota has admitted or rejected the request. */
    void onDecision(QuotaDecision decision) {
        if (pending.isEmpty() || !exchange.isStillWanted()) {
            return;
        }
        WorkspaceSpec workspace = pending.get();
        pending = Optional.empty();
        if (decision instanceof QuotaDecision.Rejected rejected) {
            retryAtMs = OptionalLong.of(rejected.retryAtMs());
            logRejection(workspace, rejected);
            exchange.refuse(
                    HttpResponseStatus.TOO_MANY_REQUESTS, "the quota of workspace " + workspace.id() + " is used up");
            return;
        }
        exchange.place();
    }

    /** Returns when a rejected caller should retry, empty unless the quota has rejected the request. */
    OptionalLong retryAtMs() {
        return retryAtMs;
    }

    /** Ends the wait for tokens when the request ends. */
    void cancel() {
        pending.ifPresent(workspace -> core.quotaService().cancel(exchange, workspace.id()));
        pending = Optional.empty();
    }

    private void logRejection(WorkspaceSpec workspace, QuotaDecision.Rejected rejected) {
        long nowMs = core.nowMs();
        List<Object> pairs = new ArrayList<>(List.of(
                "request",
                requestId,
                "cost",
                cost,
                "afterMs",
                nowMs - request.arrivedMs(),
                "retryInMs",
                rejected.retryAtMs() - nowMs,
                "configuration",
                core.configurationVersion()));
        pairs.addAll(core.quotaService().describe(workspace, nowMs));
        core.log().notice("over-quota", pairs.toArray());
    }
}
