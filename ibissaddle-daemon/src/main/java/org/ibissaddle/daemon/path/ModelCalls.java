package org.ibissaddle.daemon.path;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;
import org.ibissaddle.daemon.backend.EngineClient;
import org.ibissaddle.daemon.caller.CallerReply;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.Work;
import org.ibissaddle.port.Clock;

/** Serves model calls: place, dispatch, relay, account. */
public final class ModelCalls {
    private static final Set<String> PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final SharedState state;
    private final PlacementPolicy policy;
    private final EngineClient engines;
    private final Clock clock;
    private final EventLog log;
    private final Timer firstToken;

    /**
     * Creates the service.
     *
     * @param settings settings of the instance
     * @param state note and beliefs
     * @param policy decides where requests are served
     * @param engines calls engines
     * @param clock source of time
     * @param log log of the instance
     * @param metrics where measurements go
     */
    public ModelCalls(
            Settings settings,
            SharedState state,
            PlacementPolicy policy,
            EngineClient engines,
            Clock clock,
            EventLog log,
            MetricRegistry metrics) {
        this.settings = settings;
        this.state = state;
        this.policy = policy;
        this.engines = engines;
        this.clock = clock;
        this.log = log;
        this.firstToken = metrics.timer("model.first-token");
    }

    /**
     * Tells whether a call is a model call.
     *
     * @param head start line and header fields
     * @return whether this class serves it
     */
    public static boolean covers(RequestHead head) {
        return head.method().equals("POST") && PATHS.contains(head.path());
    }

    /**
     * Answers with the declared models.
     *
     * @param reply the way back
     * @throws IOException when the caller is gone
     */
    public void list(CallerReply reply) throws IOException {
        Set<ModelId> models = new TreeSet<>();
        state.note().ifPresent(note -> note.pools().values().forEach(pool -> models.addAll(pool.models())));
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        var data = root.putArray("data");
        models.forEach(model -> data.addObject().put("id", model.model()).put("object", "model"));
        byte[] body = root.toString().getBytes(StandardCharsets.UTF_8);
        reply.whole(200, Map.of("content-type", "application/json"), body);
    }

    /**
     * Serves a call.
     *
     * @param request the request
     * @param workspace its workspace, which this region may serve
     * @param reply the way back
     * @throws RefusedException when it is refused or fails before its answer started
     * @throws IOException when the caller is gone
     */
    public void serve(CallerRequest request, Workspace workspace, CallerReply reply)
            throws RefusedException, IOException {
        ReleaseNote note = state.note().orElseThrow();
        ModelCall call = ModelCallReader.read(request.body());
        Work work = work(request, workspace, note, call);
        Placement placement = policy.place(work, note, state.fleet(), clock.nowMs(), ThreadLocalRandom.current());
        switch (placement) {
            case Placement.Refuse refuse -> throw new RefusedException(refuse.refusal());
            case Placement.Serve serve ->
                dispatch(
                        request,
                        work,
                        placement,
                        serve.server().address(),
                        serve.server().id().name(),
                        reply);
            case Placement.Forward forward ->
                dispatch(
                        request,
                        work,
                        placement,
                        forward.peer().callerAddress(),
                        forward.peer().id().name(),
                        reply);
        }
    }

    private Work work(CallerRequest request, Workspace workspace, ReleaseNote note, ModelCall call)
            throws RefusedException {
        ModelId model = note.model(call.model())
                .orElseThrow(() -> refused(
                        RefusalType.UNKNOWN_MODEL,
                        "model \"" + call.model() + "\" is not declared by note " + note.number(),
                        Fate.NOT_RUN));
        Pool pool = note.poolOf(model).orElseThrow();
        long deadlineMs = RequestFields.deadlineMs(request, settings.limits().defaultDeadlineMs());
        RequestId id = new RequestId(UUID.randomUUID().toString());
        return new Work(
                id,
                workspace,
                pool.id(),
                Optional.of(model),
                RequestFields.priority(request.head(), workspace),
                deadlineMs,
                call.promptTokens(),
                call.maxTokens(),
                call.prefix(),
                Set.of(),
                request.head().header(Headers.HOP).isPresent());
    }

    private void dispatch(
            CallerRequest request, Work work, Placement placement, Address address, String target, CallerReply reply)
            throws RefusedException, IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(Headers.REQUEST_ID, work.request().name());
        headers.put(Headers.ATTEMPT, "0");
        headers.put(Headers.PRIORITY, Integer.toString(work.priority()));
        headers.put(Headers.WORKSPACE, work.workspace().id().name());
        if (placement instanceof Placement.Forward) {
            headers.put(Headers.HOP, settings.instance() + ";" + settings.region());
        }
        Call call = engines.post(address, request.head().path(), headers, request.body());
        call.timeout().deadline(Math.max(1, work.deadlineMs() - clock.nowMs()), TimeUnit.MILLISECONDS);
        reply.onGone(call::cancel);
        PlacementPolicy.Running running = policy.started(work, placement, clock.nowMs());
        boolean succeeded = false;
        try (Response response = call.execute()) {
            relay(response, request, target, running, reply);
            succeeded = true;
        } catch (IOException e) {
            if (reply.started()) {
                throw e;
            }
            throw refused(RefusalType.BACKEND_FAILED, "server \"" + target + "\" failed", Fate.UNKNOWN);
        } finally {
            running.ended(succeeded, clock.nowMs());
            log.fine("served", "request", work.request(), "target", target, "ok", succeeded);
        }
    }

    private void relay(
            Response response, CallerRequest request, String target, PlacementPolicy.Running running, CallerReply reply)
            throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", response.header("content-type", "application/json"));
        headers.put(Headers.INSTANCE, settings.instance().name());
        headers.put(Headers.SERVER, response.header(Headers.SERVER, target));
        for (String name : List.of(Headers.REQUEST_ID, Headers.RAN)) {
            Optional.ofNullable(response.header(name)).ifPresent(value -> headers.put(name, value));
        }
        boolean stream = headers.get("content-type").startsWith("text/event-stream");
        if (!stream) {
            reply.whole(response.code(), headers, response.body().bytes());
            return;
        }
        reply.start(response.code(), headers);
        relayEvents(response.body().source(), request, running, reply);
        reply.end();
    }

    private void relayEvents(
            BufferedSource source, CallerRequest request, PlacementPolicy.Running running, CallerReply reply)
            throws IOException {
        boolean first = true;
        StringBuilder event = new StringBuilder();
        while (true) {
            String line = source.readUtf8Line();
            if (line == null) {
                return;
            }
            event.append(line).append('\n');
            if (!line.isEmpty()) {
                continue;
            }
            if (first) {
                long nowMs = clock.nowMs();
                running.firstToken(nowMs);
                firstToken.update(nowMs - request.arrivedAtMs(), TimeUnit.MILLISECONDS);
                first = false;
            }
            running.generated(1);
            reply.piece(event.toString().getBytes(StandardCharsets.UTF_8));
            event.setLength(0);
        }
    }

    private static RefusedException refused(RefusalType type, String message, Fate fate) {
        return new RefusedException(Refusal.of(type, message, fate));
    }
}
