package org.ibissaddle.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibissaddle.daemon.caller.RefusalJson;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.port.Clock;

/** Adds {@code POST /v1/ask}: tells a caller which instance to use. */
public final class AskRoute implements ControlRoutes {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ANSWER_VALID_MS = 5_000;

    private final SharedState state;
    private final Clock clock;

    /**
     * Creates the route.
     *
     * @param state note and beliefs
     * @param clock source of time
     */
    public AskRoute(SharedState state, Clock clock) {
        this.state = state;
        this.clock = clock;
    }

    @Override
    public void addTo(Jooby app) {
        app.post("/v1/ask", this::answer);
    }

    private String answer(Context ctx) {
        ctx.setResponseType(MediaType.json);
        try {
            JsonNode question = JSON.readTree(ctx.body().bytes());
            return answer(workspace(question)).toString();
        } catch (RefusedException e) {
            ctx.setResponseCode(e.refusal().type().status());
            return new String(RefusalJson.encode(e.refusal()), StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            return malformed(ctx);
        } catch (java.io.IOException e) {
            return malformed(ctx);
        }
    }

    private static String malformed(Context ctx) {
        Refusal refusal = Refusal.of(
                RefusalType.MALFORMED_REQUEST, "the question is not well-formed JSON in UTF-8", Fate.NOT_RUN);
        ctx.setResponseCode(refusal.type().status());
        return new String(RefusalJson.encode(refusal), StandardCharsets.UTF_8);
    }

    private Workspace workspace(JsonNode question) throws RefusedException {
        ReleaseNote note = state.note()
                .orElseThrow(() -> refused(RefusalType.NOT_READY, "this instance holds no release note yet"));
        String name = question.path("workspace").asText("");
        try {
            return note.workspace(new WorkspaceId(name))
                    .orElseThrow(() -> refused(
                            RefusalType.UNKNOWN_WORKSPACE,
                            "workspace \"" + name + "\" is not declared by note " + note.number()));
        } catch (InvalidNameException e) {
            throw refused(RefusalType.UNKNOWN_WORKSPACE, e.getMessage());
        }
    }

    private ObjectNode answer(Workspace workspace) {
        ObjectNode root = JSON.createObjectNode();
        var instances = root.putArray("instances");
        for (InstanceView instance : candidates(workspace.home())) {
            instances
                    .addObject()
                    .put("name", instance.id().name())
                    .put("address", instance.callerAddress().toString())
                    .put("zone", instance.zone().name());
        }
        root.put("valid_until_ms", clock.nowMs() + ANSWER_VALID_MS);
        return root;
    }

    private List<InstanceView> candidates(Optional<Region> home) {
        List<InstanceView> all = new ArrayList<>();
        if (!state.draining()) {
            all.add(state.fleet().self());
        }
        all.addAll(state.fleet().peers());
        return all.stream()
                .filter(one -> one.health().takesNewWork())
                .filter(one -> home.isEmpty() || home.get().equals(one.region()))
                .toList();
    }

    private static RefusedException refused(RefusalType type, String message) {
        return new RefusedException(Refusal.of(type, message, Fate.NOT_RUN));
    }
}
