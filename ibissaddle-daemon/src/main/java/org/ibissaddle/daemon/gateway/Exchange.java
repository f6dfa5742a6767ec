package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.Choice;
import org.ibissaddle.backend.Work;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.dispatch.AttemptPolicy;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.RegionChoice;
import org.ibissaddle.platform.HeaderValues;
import org.ibissaddle.platform.Headers;
import org.ibissaddle.route.RequestKind;
import org.ibissaddle.route.Route;

/** One request from its arrival to its final answer. Confined to the event loop. */
final class Exchange {
    /** Time past the deadline that the server has to say itself that time is up, milliseconds. */
    private static final long DEADLINE_SLACK_MS = 100;
    /** Part of the latency objective that a request may wait for a free server; later its answer would be late. */
    private static final double WAIT_SHARE = 0.6;
    /** Idle time after which a kept connection carries no request that may run once only, milliseconds. */
    private static final long ONCE_IDLE_MS = 400;
    /** Idle time after which a kept connection carries no request that may be repeated, milliseconds. */
    private static final long REPEATABLE_IDLE_MS = 3_000;
    /** Time that a request waits for the first configuration of a process that has just started, milliseconds. */
    private static final long MAX_CONFIGURATION_WAIT_MS = 500;
    /** Time to open a connection within a region, milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 300;
    /** Time to open a connection to another region, milliseconds. */
    private static final int PEER_CONNECT_TIMEOUT_MS = 500;

    /** Least urgent rank that a server knows. */
    private static final int LOWEST_PRIORITY = 9;

    private final GatewayCore core;
    private final IncomingRequest request;
    private final Inbound inbound;
    private final Set<ServerId> triedServers = new HashSet<>();
    private final Set<Address> triedPeers = new HashSet<>();
    private Route route;
    private String service = "";
    private String id = "";
    private Work work = Work.PLAIN;
    private long deadlineMs;
    private long waitUntilMs;
    private Future<?> deadlineTimer;
    private Attempt attempt;
    private AnswerRelay relay;
    private boolean mayHaveRun;
    private boolean waiting;
    private boolean over;
    private int reached;
    private int sends;

    Exchange(GatewayCore core, IncomingRequest request, Inbound inbound) {
        this.core = core;
        this.request = request;
        this.inbound = inbound;
    }

    void start() {
        id = Optional.ofNullable(request.header(Headers.REQUEST_ID)).orElse("");
        if (core.catalog().configuration().isEmpty()) {
            core.whenConfigured(this::configured, request.arrivedMs() + MAX_CONFIGURATION_WAIT_MS);
            return;
        }
        configured();
    }

    private void configured() {
        if (over) {
            return;
        }
        if (core.catalog().configuration().isEmpty()) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known yet");
            return;
        }
        Optional<Route> found = core.route(request.header("Host"), request.path());
        if (found.isEmpty()) {
            refuse(HttpResponseStatus.NOT_FOUND, "no route");
            return;
        }
        route = found.get();
        service = route.serviceFor(id);
        work = HeaderValues.work(
                request.header(Headers.MODEL), request.header(Headers.TOKENS), request.header(Headers.PROMPT_PARTS));
        deadlineMs = request.arrivedMs() + GatewayCore.allowedMs(route, request.headers());
        waitUntilMs = request.arrivedMs()
                + Math.min((long) (route.targetLatencyMs() * WAIT_SHARE), (deadlineMs - request.arrivedMs()) / 2);
        relay = new AnswerRelay(core, inbound, route.kind() == RequestKind.STREAMING, lastEventId());
        deadlineTimer = core.schedule(this::deadlineReached, deadlineMs + DEADLINE_SLACK_MS - core.nowMs());
        core.routeUsed(route);
        core.budget(service).called(core.peers().deploymentSize());
        place();
    }

    /** Looks for a server again after waiting; tells whether the request no longer waits. */
    boolean retryPlacement() {
        if (over) {
            return true;
        }
        if (core.nowMs() >= waitUntilMs) {
            waiting = false;
            refuseBusy("waited too long for a free server");
            return true;
        }
        Choice choice = choose();
        if (choice instanceof Choice.Found found) {
            waiting = false;
            sendToServer(found);
            return true;
        }
        Optional<PeerState> peer = elsewhere(choice);
        if (peer.isPresent()) {
            waiting = false;
            sendToPeer(peer.get());
            return true;
        }
        return false;
    }

    int priority() {
        return route.priority();
    }

    long arrivedMs() {
        return request.arrivedMs();
    }

    String service() {
        return service;
    }

    void callerGone() {
        if (over) {
            return;
        }
        core.log()
                .notable(
                        "caller-gone",
                        "request",
                        id,
                        "afterMs",
                        elapsedMs(),
                        "answering",
                        relay != null && relay.isStarted());
        finish("gone");
    }

    void callerWritable(boolean writable) {
        if (attempt != null) {
            attempt.setReading(writable);
        }
    }

    private void place() {
        boolean local = route.allows(core.settings().region());
        Choice here = local ? choose() : new Choice.Absent("this region is no home of route " + route.name());
        Optional<PeerState> elsewhere = elsewhere(here);
        if (elsewhere.isPresent()) {
            sendToPeer(elsewhere.get());
            return;
        }
        switch (here) {
            case Choice.Found found -> sendToServer(found);
            case Choice.Busy busy -> awaitServer(busy.reason());
            case Choice.Absent absent -> refuseBusy(absent.reason());
        }
    }

    private void awaitServer(String reason) {
        if (core.nowMs() >= waitUntilMs || !core.waiting().hasRoom(service)) {
            refuseBusy(reason);
            return;
        }
        waiting = true;
        core.waiting().add(this);
    }

    /** What another instance forwarded stays here, so that no request goes round. */
    private Optional<PeerState> elsewhere(Choice here) {
        return request.forwarded()
                ? Optional.empty()
                : core.regions().choose(new RegionChoice.Request(route, service, work, triedPeers), here, core.nowMs());
    }

    private Choice choose() {
        int sharers = core.peers().sharers(core.settings().region());
        return core.backends().choose(service, work, triedServers, sharers, core.nowMs());
    }

    private void sendToServer(Choice.Found choice) {
        BackendServer server = choice.server();
        triedServers.add(server.entry().id());
        HttpRequest head = head();
        head.headers().set(Headers.EXPECTED_SERVER, server.entry().id().name());
        int copiedTokens = 0;
        if (choice.cacheSource().isPresent()) {
            BackendServer source = choice.cacheSource().get();
            copiedTokens = server.tokensToCopy(work, source);
            head.headers().set(Headers.COPY_CACHE_FROM, source.entry().address().toString());
        }
        core.log()
                .routine(
                        "sent",
                        "request",
                        id,
                        "target",
                        server.entry().id(),
                        "load",
                        server.estimatedLoad(core.nowMs()),
                        "unreadTokens",
                        server.backlogTokens(),
                        "missingTokens",
                        server.missingTokens(work),
                        "copiedTokens",
                        copiedTokens,
                        "copiedFrom",
                        choice.cacheSource()
                                .map(from -> from.entry().id().name())
                                .orElse(""));
        Optional<BackendServer.Placed> placed =
                Optional.of(server.place(work, copiedTokens, core.kvTokens(service), core.nowMs()));
        send(GatewayCore.endpoint(server), head, Optional.of(server), placed, CONNECT_TIMEOUT_MS);
    }

    private void sendToPeer(PeerState peer) {
        triedPeers.add(peer.peerAddress());
        HttpRequest head = head();
        head.headers().set(InternalHeaders.FORWARDED_BY, core.settings().name().name());
        core.metrics().forwarded(service);
        Endpoint endpoint = new Endpoint(peer.id().name(), peer.peerAddress());
        send(endpoint, head, Optional.empty(), Optional.empty(), PEER_CONNECT_TIMEOUT_MS);
    }

    private void send(
            Endpoint endpoint,
            HttpRequest head,
            Optional<BackendServer> server,
            Optional<BackendServer.Placed> placed,
            int connectTimeoutMs) {
        sends++;
        long maxIdleMs = route.isRepeatable() ? REPEATABLE_IDLE_MS : ONCE_IDLE_MS;
        ByteBuf body = request.body().retainedDuplicate();
        attempt = new Attempt(core, this, endpoint, server, placed, work, id);
        attempt.start(head, body, new HttpClient.SendOptions(maxIdleMs, connectTimeoutMs));
    }

    private HttpRequest head() {
        HttpHeaders headers = RequestHeaders.forwarded(request);
        if (work.promptTokens() > 0) {
            headers.set(Headers.PRIORITY, Math.min(LOWEST_PRIORITY, route.priority()));
        }
        headers.set(Headers.DEADLINE_MS, Math.max(1, deadlineMs - core.nowMs()));
        if (!relay.lastEventId().isEmpty()) {
            headers.set(Headers.LAST_EVENT_ID, relay.lastEventId());
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.target(), headers);
    }

    private String lastEventId() {
        return Optional.ofNullable(request.header(Headers.LAST_EVENT_ID)).orElse("");
    }

    AnswerRelay relay() {
        return relay;
    }

    boolean isRepeatable() {
        return route.isRepeatable();
    }

    /** A whole answer has been passed on. */
    void answered(Attempt from, int status) {
        core.metrics().served(service, status, elapsedMs());
        core.log()
                .routine(
                        "answered",
                        "request",
                        id,
                        "route",
                        route.name(),
                        "target",
                        from.target(),
                        "status",
                        status,
                        "tookMs",
                        elapsedMs(),
                        "sends",
                        sends);
        finish("answered");
    }

    /** Tells whether another attempt would be made after a failure. */
    boolean wouldRetry(AttemptPolicy.Evidence evidence) {
        return next(evidence, reached + 1) == AttemptPolicy.Next.RETRY
                && core.nowMs() < deadlineMs
                && core.budget(service).has(core.peers().deploymentSize(), core.nowMs());
    }

    /** The attempt has failed before its answer was passed on in full. */
    void attemptFailed(Attempt from, AttemptPolicy.Evidence evidence, boolean arrived, String reason) {
        if (over) {
            return;
        }
        attempt = null;
        if (evidence == AttemptPolicy.Evidence.MAY_HAVE_RUN) {
            reached++;
        }
        AttemptPolicy.Next next = next(evidence, reached);
        boolean timeLeft = core.nowMs() < deadlineMs;
        boolean allowed = next == AttemptPolicy.Next.RETRY
                && timeLeft
                && (!arrived || core.budget(service).take(core.peers().deploymentSize(), core.nowMs()));
        mayHaveRun |= evidence == AttemptPolicy.Evidence.MAY_HAVE_RUN;
        core.log()
                .notable(
                        "attempt-failed",
                        "request",
                        id,
                        "route",
                        route.name(),
                        "target",
                        from.target(),
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
                        "withinBudget",
                        allowed);
        if (allowed) {
            core.metrics().retried(service);
            place();
            return;
        }
        fail(reason);
    }

    private AttemptPolicy.Next next(AttemptPolicy.Evidence evidence, int reachedNow) {
        return AttemptPolicy.next(
                new AttemptPolicy.Progress(route.isRepeatable(), mayHaveRun, reachedNow, attemptsAllowed(), sends),
                evidence);
    }

    /** A forwarded request is sent to one server only; the instance that forwarded it decides on more. */
    private int attemptsAllowed() {
        return request.forwarded() ? 1 : route.maxAttempts();
    }

    private void deadlineReached() {
        if (over) {
            return;
        }
        if (attempt != null) {
            // A connection that is still being opened counts too, to be on the safe side.
            mayHaveRun = true;
            attempt.cancel();
            attempt = null;
        }
        fail("the deadline has passed");
    }

    private void fail(String reason) {
        if (relay.isStarted()) {
            core.metrics().brokenOff(service);
            core.log().notable("broken-off", "request", id, "reason", reason, "afterMs", elapsedMs());
            finish("broken-off");
            inbound.abort();
            return;
        }
        if (!mayHaveRun) {
            refuseBusy(reason);
            return;
        }
        boolean late = core.nowMs() >= deadlineMs;
        refuse(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, reason);
    }

    private void refuseBusy(String reason) {
        if (mayHaveRun) {
            refuse(HttpResponseStatus.BAD_GATEWAY, reason);
            return;
        }
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
    }

    private void refuse(HttpResponseStatus status, String reason) {
        core.metrics().refused(service, status.code());
        core.log()
                .notable(
                        "refused",
                        "request",
                        id,
                        "route",
                        route == null ? "" : route.name(),
                        "status",
                        status.code(),
                        "reason",
                        reason,
                        "afterMs",
                        elapsedMs(),
                        "mayHaveRun",
                        mayHaveRun,
                        "configuration",
                        core.configurationVersion());
        finish("refused");
        Refusals.send(inbound, status, reason, core.refusalHeaders(status, request.forwarded(), !mayHaveRun));
    }

    private void finish(String outcome) {
        if (over) {
            return;
        }
        over = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
        if (waiting) {
            core.waiting().remove(this);
        }
        if (relay != null) {
            relay.attemptEnded();
        }
        request.body().release();
        core.requestEnded(outcome);
    }

    private long elapsedMs() {
        return core.nowMs() - request.arrivedMs();
    }
}
