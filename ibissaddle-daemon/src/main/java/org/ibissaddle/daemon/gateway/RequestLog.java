package org.ibissaddle.daemon.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.ServerSelectionResult;
import org.ibissaddle.dispatch.AttemptPolicy;
import org.ibissaddle.dispatch.RequestWaits;

/** Logs the decisions on one request. */
final class RequestLog {
    private static final double PERCENT = 100;

    private final GatewayCore core;
    private final String request;
    private final long arrivedMs;
    private final boolean forwarded;
    private final RequestWaits waits;

    RequestLog(GatewayCore core, String request, long arrivedMs, boolean forwarded) {
        this.core = core;
        this.request = request;
        this.arrivedMs = arrivedMs;
        this.forwarded = forwarded;
        this.waits = new RequestWaits(arrivedMs);
        waits.start(RequestWaits.Cause.INTAKE, core.nowMs());
    }

    /** Time since the arrival of the request, milliseconds. */
    long elapsedMs() {
        return core.nowMs() - arrivedMs;
    }

    /** Records that the request waits for something else from now on. */
    void waitingFor(RequestWaits.Cause cause) {
        waits.start(cause, core.nowMs());
    }

    void callerGone(boolean answering) {
        long nowMs = core.nowMs();
        core.log()
                .notice(
                        "caller-gone",
                        "request",
                        request,
                        "afterMs",
                        elapsedMs(),
                        "answering",
                        answering,
                        "waitingFor",
                        waits.current().name().toLowerCase(Locale.ROOT),
                        "bodyMs",
                        waits.waitedMs(RequestWaits.Cause.BODY, nowMs),
                        "intakeMs",
                        waits.waitedMs(RequestWaits.Cause.INTAKE, nowMs),
                        "configurationMs",
                        waits.waitedMs(RequestWaits.Cause.CONFIGURATION, nowMs),
                        "quotaMs",
                        waits.waitedMs(RequestWaits.Cause.QUOTA, nowMs),
                        "queueMs",
                        waits.waitedMs(RequestWaits.Cause.QUEUE, nowMs),
                        "serverMs",
                        waits.waitedMs(RequestWaits.Cause.SERVER, nowMs),
                        "instanceMs",
                        waits.waitedMs(RequestWaits.Cause.INSTANCE, nowMs),
                        "lagMs",
                        core.lag().averageMs());
    }

    void sent(ServerSelectionResult.Selected selection, int missingTokens, int copiedTokens, int enginePriority) {
        BackendServer server = selection.server();
        core.log()
                .info(
                        "sent",
                        "request",
                        request,
                        "target",
                        server.entry().id(),
                        "load",
                        server.estimatedLoad(core.nowMs()),
                        "loadAgeMs",
                        server.loadReportAgeMs(core.nowMs()),
                        "slowdownPercent",
                        Math.round(core.backends().slowdown(server, core.nowMs()) * PERCENT),
                        "slowdownReportAgeMs",
                        server.speedReportAgeMs(core.nowMs()),
                        "slowdownObservedAgeMs",
                        server.speedObservationAgeMs(core.nowMs()),
                        "stalledMs",
                        server.stalledMs(core.nowMs()),
                        "waitMs",
                        selection.waitMs(),
                        "coldLeftMs",
                        server.coldRemainingMs(core.nowMs()),
                        "instances",
                        core.peers().instancesInRegion(core.settings().region()),
                        "unreadTokens",
                        server.backlogTokens(),
                        "enginePriority",
                        enginePriority,
                        "waitedMs",
                        elapsedMs(),
                        "missingTokens",
                        missingTokens,
                        "copiedTokens",
                        copiedTokens,
                        "copiedFrom",
                        selection
                                .cacheSource()
                                .map(from -> from.entry().id().name())
                                .orElse(""));
    }

    void answered(String route, String target, int status, String framing, long bytes, int sends) {
        core.log()
                .info(
                        "answered",
                        "request",
                        request,
                        "route",
                        route,
                        "target",
                        target,
                        "status",
                        status,
                        "framing",
                        framing,
                        "bytes",
                        bytes,
                        "tookMs",
                        elapsedMs(),
                        "sends",
                        sends);
    }

    void attemptFailed(
            String route,
            String target,
            AttemptPolicy.ExecutionEvidence evidence,
            String reason,
            AttemptPolicy.RetryDecision next,
            boolean timeLeft,
            boolean countsAsRetry,
            boolean withinBudget) {
        core.log()
                .notice(
                        "attempt-failed",
                        "request",
                        request,
                        "route",
                        route,
                        "target",
                        target,
                        "evidence",
                        evidence,
                        "reason",
                        reason,
                        "afterMs",
                        elapsedMs(),
                        "next",
                        next,
                        "timeLeft",
                        timeLeft,
                        "countsAsRetry",
                        countsAsRetry,
                        "withinBudget",
                        withinBudget);
    }

    void brokenOff(String reason) {
        core.log().notice("broken-off", "request", request, "reason", reason, "afterMs", elapsedMs());
    }

    void refused(
            String route,
            HttpResponseStatus status,
            String reason,
            boolean mayHaveRun,
            boolean mayHaveReachedServer,
            int sends) {
        core.log()
                .notice(
                        "refused",
                        "request",
                        request,
                        "route",
                        route,
                        "status",
                        status.code(),
                        "reason",
                        reason,
                        "afterMs",
                        elapsedMs(),
                        "mayHaveRun",
                        mayHaveRun,
                        "mayHaveReachedServer",
                        mayHaveReachedServer,
                        "sends",
                        sends,
                        "forwarded",
                        forwarded,
                        "configuration",
                        core.configurationVersion(),
                        "confirmedMsAgo",
                        core.confirmation().ageMs(core.nowMs()).orElse(-1));
    }

    void failedUnexpectedly(RuntimeException cause) {
        core.log().notice("request-failed-unexpectedly", "request", request, "cause", cause);
    }
}
