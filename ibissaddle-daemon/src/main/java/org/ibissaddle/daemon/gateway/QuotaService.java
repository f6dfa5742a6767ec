package org.ibissaddle.daemon.gateway;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.quota.LeaseAnswer;
import org.ibissaddle.quota.LeaseBatch;
import org.ibissaddle.quota.LeaseState;
import org.ibissaddle.quota.QuotaDecision;
import org.ibissaddle.quota.QuotaIssuer;
import org.ibissaddle.quota.QuotaLeases;
import org.ibissaddle.quota.Settled;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.Quota;
import org.ibissaddle.route.WorkspaceSpec;

/**
 * Charges requests to the quotas of their workspaces: requests leases from other instances and answers their lease
 * requests. Does nothing while no workspace has a limit. Confined to the event loop.
 */
final class QuotaService {
    private static final String PATH = "/ibissaddle/quota";
    /** Interval between observations of the running instances, milliseconds; as the rounds of {@link PeerGossip}. */
    private static final long OBSERVATION_INTERVAL_MS = 500;
    /** Interval at which lease requests and ends of waits are due while there are any, milliseconds. */
    private static final long TICK_MS = 20;
    /** Maximum time to wait for the answer of an issuer, milliseconds: several round trips between regions. */
    private static final long RESPONSE_TIMEOUT_MS = 500;

    /** Change of the share below which no line is logged. */
    private static final double MIN_LOGGED_SHARE_CHANGE = 0.05;

    private static final int MAX_RESPONSE_BYTES = 65_536;
    private static final int OK = 200;
    private static final HttpClient.SendOptions OPTIONS = new HttpClient.SendOptions(10_000, 400);

    private final GatewayCore core;
    private final JsonMapper mapper = JsonMapper.builder()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .build();
    private final QuotaIssuer issuer;
    private final QuotaLeases<RequestExchange> leases;
    private Map<WorkspaceId, Quota> limits = Map.of();
    private Map<InstanceId, PeerState> heard = Map.of();
    private Optional<Configuration> limitsOf = Optional.empty();
    private boolean workScheduled;
    private boolean tickScheduled;

    QuotaService(GatewayCore core) {
        this.core = core;
        GatewaySettings settings = core.settings();
        InstanceId self = settings.name();
        long seed = self.name().hashCode() + core.nowMs();
        this.issuer = new QuotaIssuer(self, settings.platformLimits().quotaBounds(), core.nowMs());
        this.leases = new QuotaLeases<>(self, settings.platformLimits().quotaBounds(), new SplittableRandom(seed));
    }

    void start() {
        observe();
        core.scheduleWithFixedDelay(this::observe, OBSERVATION_INTERVAL_MS);
    }

    /**
     * Charges a request that came from its caller. It is told of the decision at once or later, unless it is cancelled
     * meanwhile.
     */
    void charge(RequestExchange exchange, WorkspaceSpec workspace, long cost, long waitUntilMs) {
        applyConfiguration();
        QuotaDecision decision = leases.request(
                exchange, workspace.id(), workspace.quota(), cost, waitUntilMs, allowanceInstances(), core.nowMs());
        if (decision instanceof QuotaDecision.Wait) {
            core.metrics().recordQuota("waits", workspace.id(), 1);
            scheduleWork();
        } else {
            if (leases.isActive()) {
                scheduleTick();
            }
            decide(exchange, decision);
        }
    }

    /** Ends the wait of a request whose caller has left. */
    void cancel(RequestExchange exchange, WorkspaceId workspace) {
        leases.cancel(workspace, exchange);
    }

    /** Records whether an instance answered a message of this one; an issuer that nobody hears must not issue. */
    void recordContact(Address peer, boolean answered) {
        for (PeerState state : heard.values()) {
            if (state.peerAddress().equals(peer)) {
                issuer.recordContact(state.id(), state.region(), answered, core.nowMs());
                return;
            }
        }
    }

    boolean isQuotaMessage(HttpRequest request) {
        return request.uri().equals(PATH);
    }

    /** Answers the lease requests of another instance. */
    void handle(byte[] body, ResponseWriter to) {
        try {
            QuotaMessage message = mapper.readValue(body, QuotaMessage.class);
            InstanceId sender = new InstanceId(message.sender());
            applyConfiguration();
            List<QuotaMessage.Answer> answers = message.requests().stream()
                    .map(item -> QuotaMessage.Answer.of(answer(sender, item)))
                    .toList();
            byte[] reply = mapper.writeValueAsBytes(new QuotaMessage.Reply(answers));
            HttpHeaders headers = new DefaultHttpHeaders().set("Content-Type", "application/json");
            to.sendHead(HttpResponseStatus.OK, headers, reply.length);
            to.sendContent(Unpooled.wrappedBuffer(reply));
            to.sendEnd();
        } catch (IOException | InvalidIdentifierException e) {
            core.log().notice("bad-quota-message", "reason", e.getMessage());
            ErrorResponses.send(
                    to, HttpResponseStatus.BAD_REQUEST, "malformed quota message", new DefaultHttpHeaders());
        }
    }

    private LeaseAnswer answer(InstanceId sender, QuotaMessage.Item item) {
        WorkspaceId workspace = new WorkspaceId(item.workspace());
        Optional<Quota> quota = Optional.ofNullable(limits.get(workspace));
        LeaseAnswer answer = issuer.answer(sender, item.toLeaseRequest(), quota, core.nowMs());
        if (answer instanceof LeaseAnswer.Granted granted) {
            core.metrics().recordQuota("issued", workspace, granted.tokens());
        }
        return answer;
    }

    /** Returns the inputs of a rejection and their age, as keys and values of a log line. */
    List<Object> describe(WorkspaceSpec workspace, long nowMs) {
        Quota quota = workspace.quota();
        LeaseState state = leases.state(workspace.id(), nowMs);
        return List.of(
                "workspace",
                workspace.id(),
                "unit",
                quota.unit(),
                "perSecond",
                quota.perSecond(),
                "burst",
                quota.burst(),
                "held",
                state.heldTokens(),
                "waiting",
                state.waiting(),
                "issuer",
                issuer.issuerOf(workspace.id()),
                "answeredBy",
                state.issuer().map(InstanceId::name).orElse(""),
                "answer",
                state.lastAnswer().map(QuotaService::summary).orElse("none"),
                "answerAgeMs",
                state.lastAnswer().isPresent() ? state.answerAgeMs() : -1,
                "issuerSilent",
                state.issuerSilent());
    }

    private static String summary(LeaseAnswer answer) {
        return switch (answer) {
            case LeaseAnswer.Granted granted ->
                "granted " + granted.tokens() + ", next in " + granted.nextMs() + " ms, backlog " + granted.backlogMs()
                        + " ms";
            case LeaseAnswer.NotIssuing notIssuing ->
                "not issuing: " + notIssuing.reason() + ", retry in " + notIssuing.retryMs() + " ms";
        };
    }

    /** Returns how many instances share the allowance; more than may exist while the others are still unknown. */
    private int allowanceInstances() {
        int atStart = Math.max(
                QuotaLeases.MIN_INSTANCES_AT_START, core.settings().seeds().size() + 1);
        return core.peers()
                .deploymentSize(core.nowMs())
                .orElseGet(() -> Math.max(atStart, core.peers().knownInstances()));
    }

    /** Takes the limits of a new configuration, and ends the waits of workspaces that no longer have one. */
    private void applyConfiguration() {
        Optional<Configuration> current = core.catalog().configuration();
        if (current.equals(limitsOf)) {
            return;
        }
        limitsOf = current;
        limits = current.map(Configuration::workspaces).orElse(List.of()).stream()
                .filter(workspace -> workspace.quota().isLimited())
                .collect(Collectors.toUnmodifiableMap(
                        WorkspaceSpec::id, WorkspaceSpec::quota, (first, second) -> first));
        issuer.retain(limits::containsKey);
        settle(leases.retain(limits::containsKey));
    }

    private void observe() {
        applyConfiguration();
        if (limits.isEmpty()) {
            return;
        }
        Map<InstanceId, PeerState> running = new HashMap<>();
        Map<InstanceId, Region> regions = new HashMap<>();
        for (PeerState state : core.peers().recentlyHeard(core.nowMs())) {
            running.put(state.id(), state);
            regions.put(state.id(), state.region());
        }
        heard = running;
        double before = issuer.share();
        issuer.observe(regions, core.peers().deploymentSize(core.nowMs()), core.nowMs());
        if (Math.abs(issuer.share() - before) >= MIN_LOGGED_SHARE_CHANGE) {
            core.log()
                    .notice(
                            "quota-share",
                            "share",
                            issuer.share(),
                            "before",
                            before,
                            "heard",
                            running.size() + 1,
                            "known",
                            core.peers().deploymentSize(core.nowMs()).orElse(0));
        }
    }

    /** Sends the lease requests that are due after the requests that the event loop processes now. */
    private void scheduleWork() {
        if (!workScheduled) {
            workScheduled = true;
            core.execute(() -> {
                workScheduled = false;
                work();
            });
        }
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            core.schedule(
                    () -> {
                        tickScheduled = false;
                        work();
                    },
                    TICK_MS);
        }
    }

    private void work() {
        try {
            settle(leases.settleExpired(core.nowMs()));
            for (LeaseBatch batch : leases.takeDue(issuer::issuerOf, core.nowMs())) {
                request(batch);
            }
        } finally {
            if (leases.isActive()) {
                scheduleTick();
            }
        }
    }

    private void request(LeaseBatch batch) {
        long sentMs = core.nowMs();
        InstanceId self = core.settings().name();
        if (batch.issuer().equals(self)) {
            List<LeaseAnswer> answers = QuotaMessage.of(self.name(), batch).requests().stream()
                    .map(item -> answer(self, item))
                    .toList();
            settle(leases.onAnswers(self, answers, sentMs, sentMs));
            return;
        }
        PeerState to = heard.get(batch.issuer());
        if (to == null) {
            settle(leases.onFailure(batch, sentMs));
            return;
        }
        try {
            byte[] body = mapper.writeValueAsBytes(QuotaMessage.of(self.name(), batch));
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, PATH);
            request.headers().set("Host", to.peerAddress().toString()).set("Content-Length", body.length);
            new ResponseCollector(
                            core,
                            RESPONSE_TIMEOUT_MS,
                            MAX_RESPONSE_BYTES,
                            (status, answer) -> onResponse(to, batch, status, answer, sentMs),
                            failure -> onCallFailure(to, batch, failure))
                    .send(new Endpoint("peer", to.peerAddress()), request, Unpooled.wrappedBuffer(body), OPTIONS);
        } catch (IOException e) {
            onFailure(to, batch, "message cannot be written: " + e.getMessage());
        }
    }

    private void onResponse(PeerState from, LeaseBatch batch, int status, byte[] body, long sentMs) {
        if (status != OK) {
            onFailure(from, batch, "status " + status);
            return;
        }
        try {
            List<LeaseAnswer> answers = mapper.readValue(body, QuotaMessage.Reply.class).answers().stream()
                    .map(QuotaMessage.Answer::toLeaseAnswer)
                    .toList();
            if (answers.size() != batch.requests().size()) {
                onFailure(
                        from,
                        batch,
                        answers.size() + " answers to " + batch.requests().size() + " lease requests");
                return;
            }
            recordContact(from.peerAddress(), true);
            core.metrics().recordQuotaMessage("answered");
            settle(leases.onAnswers(from.id(), answers, sentMs, core.nowMs()));
        } catch (IOException | InvalidIdentifierException e) {
            onFailure(from, batch, "malformed answer: " + e.getMessage());
        }
    }

    /** A failure of this process, or a response that can't be used, says nothing about whether the issuer hears us. */
    private void onCallFailure(PeerState to, LeaseBatch batch, ResponseCollector.Failure failure) {
        if (failure instanceof ResponseCollector.Failure.NoResponse) {
            recordContact(to.peerAddress(), false);
        }
        onFailure(to, batch, failure.reason());
    }

    private void onFailure(PeerState to, LeaseBatch batch, String reason) {
        core.metrics().recordQuotaMessage("failed");
        core.log()
                .notice(
                        "quota-lease-failed",
                        "issuer",
                        to.id(),
                        "reason",
                        reason,
                        "workspaces",
                        batch.requests().size());
        settle(leases.onFailure(batch, core.nowMs()));
    }

    private void settle(List<Settled<RequestExchange>> settled) {
        settled.forEach(one -> decide(one.request(), one.decision()));
    }

    private void decide(RequestExchange exchange, QuotaDecision decision) {
        exchange.workspace().ifPresent(workspace -> {
            String event = decision instanceof QuotaDecision.Admitted ? "admitted" : "rejected";
            core.metrics().recordQuota(event, workspace.id(), 1);
        });
        exchange.onQuotaDecision(decision);
    }
}
