package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.QueueOrder;
import org.ibissaddle.backend.QueueTerms;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.backend.RequestTerms;
import org.ibissaddle.backend.ServerSelectionResult;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.dispatch.AttemptPolicy;
import org.ibissaddle.dispatch.RequestWaits;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.RegionSelector;
import org.ibissaddle.platform.HeaderDecoder;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.quarantine.RefusedContent;
import org.ibissaddle.quota.QuotaDecision;
import org.ibissaddle.route.RequestKind;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.WorkspaceSpec;

/** Processes one request from its arrival to its final response. Confined to the event loop. */
final class RequestExchange {
    /** Time after the deadline in which the server may still report the timeout itself, milliseconds. */
    static final long DEADLINE_GRACE_MS = 100;
    /** Maximum time that a request waits for the first configuration after the process starts, milliseconds. */
    private static final long MAX_CONFIGURATION_WAIT_MS = 500;

    private final GatewayCore core;
    private final IncomingRequest request;
    private final ResponseWriter responseWriter;
    private final String id;
    private final RequestLog log;
    private final QuotaCharge quota;
    private final RetryTime retryTime;
    private final Set<ServerId> triedServers = new HashSet<>();
    private final Set<Address> triedPeers = new HashSet<>();
    private RequestAccess access;
    /** The matched route with the priority and the homes of the workspace. */
    private Route route;

    private String service = "";
    private RequestDemand demand = RequestDemand.PLAIN;
    private RequestContent content;
    private boolean suspect;
    private long deadlineMs;
    private Future<?> deadlineTimer;
    private Attempt attempt;
    private ResponseRelay relay;
    private boolean mayHaveRun;
    private boolean mayHaveReachedServer;
    private boolean waiting;
    /** Whether the request waits only because its long prompt would delay short ones. */
    private boolean held;

    private QueueOrder.Waiter waiter;
    private boolean finished;
    private int possibleRuns;
    private int sends;

    RequestExchange(GatewayCore core, IncomingRequest request, ResponseWriter responseWriter) {
        this.core = core;
        this.request = request;
        this.responseWriter = responseWriter;
        this.id =
                Optional.ofNullable(request.header(PlatformHeaders.REQUEST_ID)).orElse("");
        this.retryTime = new RetryTime(core);
        this.log = new RequestLog(core, id, request.arrivedMs(), request.forwarded());
        this.quota = new QuotaCharge(core, this, request, id, log);
    }

    void start() {
        runIsolated(this::startWhenConfigured);
    }

    private void startWhenConfigured() {
        if (!isStillWanted()) {
            return;
        }
        if (core.catalog().configuration().isEmpty()) {
            log.waitingFor(RequestWaits.Cause.CONFIGURATION);
            core.runWhenConfigured(
                    () -> runIsolated(this::onConfigured), request.arrivedMs() + MAX_CONFIGURATION_WAIT_MS);
            return;
        }
        onConfigured();
    }

    private void onConfigured() {
        if (!isStillWanted()) {
            return;
        }
        if (core.catalog().configuration().isEmpty()) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known yet");
            return;
        }
        Optional<Route> found = core.route(request.header("Host"), request.path());
        if (found.isEmpty()) {
            refuse(HttpResponseStatus.NOT_FOUND, "no route matches the host and path of the request");
            return;
        }
        access = new RequestAccess(core, request, found.get());
        if (refuseIfAccessDenied()) {
            return;
        }
        service = route.serviceFor(id);
        demand = HeaderDecoder.decodeDemand(
                request.header(PlatformHeaders.MODEL),
                request.header(PlatformHeaders.TOKENS),
                request.header(PlatformHeaders.PROMPT_PARTS));
        content = new RequestContent(request, demand, access::granted);
        suspect = core.crashGuard().isSuspect(content);
        deadlineMs = request.arrivedMs() + GatewayCore.effectiveTimeoutMs(route, request.headers());
        boolean streaming =
                route.kind() == RequestKind.STREAMING && !request.method().equals(HttpMethod.HEAD);
        relay = new ResponseRelay(core, responseWriter, streaming, route.isRetryable(), request.lastEventId());
        deadlineTimer = core.schedule(this::onDeadline, deadlineMs + DEADLINE_GRACE_MS - core.nowMs());
        core.countRequest(route);
        if (!request.forwarded()) {
            core.retryBudget(service).recordRequest(core.peers().deploymentSize(core.nowMs()));
        }
        if (core.isTooLate(service, demand, deadlineMs)) {
            refuseUnavailable("the request has waited too long at this instance to be answered in time");
            return;
        }
        quota.start(route, demand, deadlineMs);
    }

    /** Tries again to place a queued request; returns whether the request has left the queue. */
    boolean retryPlacement() {
        runIsolated(this::placeQueued);
        return finished || !waiting;
    }

    private void placeQueued() {
        if (!isStillWanted()) {
            return;
        }
        if (refuseIfAccessDenied() || refuseIfCrashing()) {
            return;
        }
        ServerSelectionResult selection = choose();
        if (selection instanceof ServerSelectionResult.Selected found) {
            waiting = false;
            sendToServer(found);
            return;
        }
        Optional<PeerState> peer = choosePeer(selection);
        if (peer.isPresent()) {
            waiting = false;
            sendToPeer(peer.get());
            return;
        }
        if (!isLocalAllowed()) {
            waiting = false;
            refuseUnavailable("no instance of a home region of route " + route.name() + " can serve the request");
            return;
        }
        held = selection instanceof ServerSelectionResult.Held;
        Optional<String> giveUpReason =
                held ? Optional.empty() : core.requestQueue().giveUpReason(this);
        if (giveUpReason.isPresent()) {
            waiting = false;
            refuseUnavailable(giveUpReason.get());
            return;
        }
        if (selection instanceof ServerSelectionResult.HeldOff pause && pause.untilMs() > waiter().inTimeUntilMs()) {
            waiting = false;
            refuseUnavailable(pause.reason());
        }
    }

    /**
     * Returns whether the request may still be sent to a server or another instance. Ends it if its caller has left or
     * its deadline has passed, wherever it has waited.
     */
    boolean isStillWanted() {
        if (finished) {
            return false;
        }
        if (!responseWriter.isOpen()) {
            onCallerDisconnected();
            return false;
        }
        if (route != null && core.nowMs() >= deadlineMs) {
            waiting = false;
            fail("the deadline of the request has passed before it was sent");
            return false;
        }
        return true;
    }

    /** Returns the workspace of the request, empty if its route is public or the configuration has no workspaces. */
    Optional<WorkspaceSpec> workspace() {
        return access == null ? Optional.empty() : access.workspace();
    }

    /** Whether an attempt to send the request to a server of the local region is running. */
    boolean isSentToServer() {
        return attempt != null && attempt.isToServer();
    }

    /** Whether the request waits only because its long prompt would delay short ones. */
    boolean isHeld() {
        return held;
    }

    String service() {
        return service;
    }

    void onCallerDisconnected() {
        if (finished) {
            return;
        }
        log.callerGone(relay != null && relay.isStarted());
        finish("gone");
    }

    void onCallerWritabilityChanged(boolean writable) {
        if (attempt != null) {
            attempt.setAutoRead(writable);
        }
    }

    /** Runs a step of this request; if it fails unexpectedly, only this request ends. */
    private void runIsolated(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            log.failedUnexpectedly(e);
            if (!finished) {
                recordUnfinishedAttempt();
                fail("internal error");
            }
        }
    }

    void onQuotaDecision(QuotaDecision decision) {
        runIsolated(() -> quota.onDecision(decision));
    }

    void place() {
        runIsolated(this::placeOrRefuse);
    }

    private void placeOrRefuse() {
        if (!isStillWanted()) {
            return;
        }
        if (refuseIfAccessDenied() || refuseIfCrashing()) {
            return;
        }
        ServerSelectionResult localSelection = choose();
        Optional<PeerState> peer = choosePeer(localSelection);
        if (peer.isPresent()) {
            sendToPeer(peer.get());
            return;
        }
        held = localSelection instanceof ServerSelectionResult.Held;
        switch (localSelection) {
            case ServerSelectionResult.Selected found -> sendToServer(found);
            case ServerSelectionResult.AtCapacity busy -> enqueue(busy.reason());
            case ServerSelectionResult.Held delayed -> enqueue(delayed.reason());
            case ServerSelectionResult.HeldOff held -> enqueueOrRefuse(held);
            case ServerSelectionResult.NoServer absent -> refuseUnavailable(absent.reason());
        }
    }

    /** Refuses a request whose API key is not or no longer valid; returns whether it did. */
    private boolean refuseIfAccessDenied() {
        Optional<GatewayCore.HeadError> denial = access.check();
        if (denial.isEmpty()) {
            route = access.route();
            return false;
        }
        waiting = false;
        if (mayHaveRun) {
            fail(denial.get().reason());
        } else {
            refuse(denial.get().status(), denial.get().reason());
        }
        return true;
    }

    private boolean isLocalAllowed() {
        return route.allows(core.settings().region());
    }

    /** Refuses a request whose content has crashed servers; returns whether it did. */
    boolean refuseIfCrashing() {
        Optional<RefusedContent> refused = core.crashGuard().check(content);
        retryTime.recordContent(refused);
        if (refused.isPresent()) {
            waiting = false;
            fail(refused.get().reason());
        }
        return refused.isPresent();
    }

    private void enqueue(String reason) {
        if (!held && core.nowMs() >= waiter().giveUpAtMs()) {
            refuseUnavailable(reason);
            return;
        }
        Optional<String> refusal = core.requestQueue().refusal(this);
        if (refusal.isPresent()) {
            refuseUnavailable(refusal.get());
            return;
        }
        waiting = true;
        log.waitingFor(RequestWaits.Cause.QUEUE);
        core.requestQueue().add(this);
    }

    /** Returns what the order of the queue depends on; it stays the same while the request waits. */
    QueueOrder.Waiter waiter() {
        if (waiter == null) {
            String workspace = workspace().map(spec -> spec.id().name()).orElse("");
            waiter = core.requestQueue()
                    .termsOf(new QueueTerms.Request(service, demand, terms(), workspace, route.name(), deadlineMs));
        }
        return waiter;
    }

    /** Waits for the end of the first pause, or refuses the request at once if the pause outlasts the maximum wait. */
    private void enqueueOrRefuse(ServerSelectionResult.HeldOff held) {
        if (held.untilMs() > waiter().inTimeUntilMs()) {
            refuseUnavailable(held.reason());
            return;
        }
        enqueue(held.reason());
    }

    /** Chooses another instance to forward to; forwarded requests are never forwarded again, to avoid loops. */
    private Optional<PeerState> choosePeer(ServerSelectionResult localSelection) {
        return request.forwarded()
                ? Optional.empty()
                : core.regions()
                        .choose(
                                new RegionSelector.Request(route, service, demand, triedPeers),
                                localSelection,
                                core.nowMs());
    }

    private ServerSelectionResult choose() {
        if (!isLocalAllowed()) {
            return new ServerSelectionResult.NoServer("this region is no home of route " + route.name());
        }
        return core.backends().selectServer(service, demand, terms(), triedServers, core.coldRateShare(), core.nowMs());
    }

    private RequestTerms terms() {
        return new RequestTerms(route.priority(), request.arrivedMs(), request.arrivedMs() + route.targetLatencyMs());
    }

    private void sendToServer(ServerSelectionResult.Selected selection) {
        BackendServer server = selection.server();
        triedServers.add(server.entry().id());
        int uncachedTokens = server.uncachedTokens(demand);
        int copiedTokens = selection
                .cacheSource()
                .map(source -> server.tokensToCopy(demand, source))
                .orElse(0);
        int priority = core.backends().enginePriority(terms(), uncachedTokens, core.nowMs());
        HttpRequest head = createHead(access.headersForServer(), priority);
        RequestHeaders.address(head.headers(), server, selection.cacheSource());
        log.waitingFor(RequestWaits.Cause.SERVER);
        core.metrics().recordSent(service, server.entry().id().name());
        log.sent(selection, uncachedTokens, copiedTokens, priority);
        Optional<BackendServer.RequestHandle> placed =
                Optional.of(server.requestSent(demand, copiedTokens, core.kvTokens(service), core.nowMs()));
        send(GatewayCore.endpoint(server), head, Optional.of(server), placed, ConnectionOptions.toServer(route));
    }

    private void sendToPeer(PeerState peer) {
        triedPeers.add(peer.peerAddress());
        HttpRequest head = createHead(access.headersForInstance(), route.priority());
        head.headers().set(InternalHeaders.FORWARDED_BY, core.settings().name().name());
        core.metrics().recordForward(service);
        log.waitingFor(RequestWaits.Cause.INSTANCE);
        Endpoint endpoint = new Endpoint(peer.id().name(), peer.peerAddress());
        send(endpoint, head, Optional.empty(), Optional.empty(), ConnectionOptions.TO_INSTANCE);
    }

    private void send(
            Endpoint endpoint,
            HttpRequest head,
            Optional<BackendServer> server,
            Optional<BackendServer.RequestHandle> placed,
            HttpClient.SendOptions options) {
        sends++;
        ByteBuf body = request.body().retainedDuplicate();
        attempt = new Attempt(core, this, endpoint, server, placed, demand, id);
        attempt.start(head, body, options);
    }

    private HttpRequest createHead(HttpHeaders headers, int priority) {
        return RequestHeaders.head(request, headers, demand, priority, deadlineMs - core.nowMs(), relay.lastEventId());
    }

    ResponseRelay relay() {
        return relay;
    }

    RequestContent content() {
        return content;
    }

    /** Whether another server may run the request and the rest of its response can be relayed. */
    boolean isRepeatable() {
        return route.isRetryable() && relay.isResumable();
    }

    /** Called when a complete response has been relayed. */
    void onResponseComplete(Attempt from, int status) {
        core.metrics().recordResponse(service, status, log.elapsedMs());
        log.answered(route.name(), from.target(), status, relay.framing(), relay.receivedBytes(), sends);
        finish("answered");
    }

    RetryTime retryTime() {
        return retryTime;
    }

    /** Whether another attempt would be made after a failure. */
    boolean canRetry(AttemptPolicy.ExecutionEvidence evidence) {
        return next(evidence, possibleRuns + 1) == AttemptPolicy.RetryDecision.RETRY
                && core.nowMs() < deadlineMs
                && access.isHeld()
                && core.retryBudget(service).canAcquire(core.peers().deploymentSize(core.nowMs()), core.nowMs());
    }

    /** Called when an attempt has failed before its response was relayed in full. */
    void onAttemptFailed(Attempt from, AttemptPolicy.ExecutionEvidence evidence, boolean countsAsRetry, String reason) {
        if (finished) {
            return;
        }
        attempt = null;
        if (evidence == AttemptPolicy.ExecutionEvidence.MAY_HAVE_RUN) {
            possibleRuns++;
        }
        AttemptPolicy.RetryDecision next = next(evidence, possibleRuns);
        boolean timeLeft = core.nowMs() < deadlineMs;
        boolean allowed = next == AttemptPolicy.RetryDecision.RETRY
                && timeLeft
                && access.isHeld()
                && (!countsAsRetry
                        || core.retryBudget(service)
                                .tryAcquire(core.peers().deploymentSize(core.nowMs()), core.nowMs()));
        mayHaveRun |= evidence == AttemptPolicy.ExecutionEvidence.MAY_HAVE_RUN;
        mayHaveReachedServer |= countsAsRetry;
        log.attemptFailed(route.name(), from.target(), evidence, reason, next, timeLeft, countsAsRetry, allowed);
        if (allowed) {
            core.metrics().recordRetry(service);
            place();
            return;
        }
        if (next == AttemptPolicy.RetryDecision.RETRY && timeLeft && refuseIfAccessDenied()) {
            return;
        }
        fail(reason);
    }

    private AttemptPolicy.RetryDecision next(AttemptPolicy.ExecutionEvidence evidence, int possibleRunsNow) {
        return AttemptPolicy.decide(
                new AttemptPolicy.AttemptProgress(isRepeatable(), mayHaveRun, possibleRunsNow, maxAttempts(), sends),
                evidence);
    }

    /**
     * A forwarded request is sent to one server only; the instance that forwarded it decides on retries. So is one that
     * may have crashed servers before.
     */
    private int maxAttempts() {
        return request.forwarded() || suspect ? 1 : route.maxAttempts();
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        if (attempt != null) {
            recordUnfinishedAttempt();
            attempt.cancel();
            attempt = null;
        }
        fail("the deadline of the request has passed");
    }

    /** Gives the caller a final response before the process exits. */
    void onShutdown() {
        if (finished) {
            return;
        }
        recordUnfinishedAttempt();
        fail("the instance is stopping");
    }

    /** Conservatively includes attempts whose connection is still being opened. */
    private void recordUnfinishedAttempt() {
        mayHaveRun |= attempt != null;
        mayHaveReachedServer |= attempt != null;
    }

    private void fail(String reason) {
        if (!mayHaveRun) {
            refuseUnavailable(reason);
            return;
        }
        boolean late = core.nowMs() >= deadlineMs;
        refuse(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, reason);
    }

    private void refuseUnavailable(String reason) {
        if (mayHaveRun) {
            refuse(HttpResponseStatus.BAD_GATEWAY, reason);
            return;
        }
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
    }

    /** Sends an error response, or breaks off a response that has started. */
    void refuse(HttpResponseStatus status, String reason) {
        if (relay != null && relay.isStarted()) {
            core.metrics().recordAbortedResponse(service);
            log.brokenOff(reason);
            finish("broken-off");
            responseWriter.abort();
            return;
        }
        core.metrics().recordRefusal(service, status.code());
        chargedWorkspace().ifPresent(workspace -> core.metrics().recordWorkspaceRefusal(workspace, status.code()));
        log.refused(
                access == null ? "" : access.route().name(), status, reason, mayHaveRun, mayHaveReachedServer, sends);
        finish("refused");
        HttpHeaders headers = core.errorHeaders(status, request.forwarded(), !mayHaveRun, mayHaveReachedServer);
        ErrorResponses.setRetryAfter(headers, quota.retryAtMs(), core.nowMs());
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) && route != null) {
            ErrorResponses.setRetryAfter(headers, retryTime.atMs(service, isLocalAllowed()), core.nowMs());
        }
        ErrorResponses.send(responseWriter, status, reason, headers);
    }

    private void finish(String outcome) {
        if (finished) {
            return;
        }
        finished = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
        if (waiting) {
            core.requestQueue().remove(this);
        }
        quota.cancel();
        if (relay != null) {
            relay.discardBuffered();
        }
        request.body().release();
        core.recordOutcome(outcome);
        chargedWorkspace().ifPresent(workspace -> core.metrics().recordWorkspaceOutcome(workspace, outcome));
    }

    /** Returns the workspace in whose metrics the request counts, at the instance that it reached first only. */
    private Optional<WorkspaceId> chargedWorkspace() {
        return request.forwarded() ? Optional.empty() : workspace().map(WorkspaceSpec::id);
    }
}
