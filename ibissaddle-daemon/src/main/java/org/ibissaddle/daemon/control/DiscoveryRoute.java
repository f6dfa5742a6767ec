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
import org.ibissaddle.daemon.once.TicketIssuer;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.port.Clock;

/** Adds {@code POST /v1/ask}: returns the instances that a caller may use. */
public final class DiscoveryRoute implements ControlRoutes {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** How long a caller may use a response, in milliseconds. */
    public static final long RESPONSE_VALID_MS = 5_000;

    private final SharedState state;
    private final TicketIssuer ticketIssuer;
    private final Clock clock;

    /**
     * Creates the route.
     *
     * @param state current release note and fleet view
     * @param ticketIssuer issues tickets
     * @param clock time source
     */
    public DiscoveryRoute(SharedState state, TicketIssuer ticketIssuer, Clock clock) {
        this.state = state;
        this.ticketIssuer = ticketIssuer;
        this.clock = clock;
    }

    @Override
    public void addTo(Jooby app) {
        app.post("/v1/ask", this::handle);
    }

    private String handle(Context ctx) {
        ctx.setResponseType(MediaType.json);
        try {
            JsonNode request = JSON.readTree(ctx.body().bytes());
            return response(requireWorkspace(request), request).toString();
        } catch (RefusedException e) {
            ctx.setResponseCode(e.refusal().type().status());
            return new String(RefusalJson.encode(e.refusal()), StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            return malformedRequest(ctx);
        } catch (java.io.IOException e) {
            return malformedRequest(ctx);
        }
    }

    private static String malformedRequest(Context ctx) {
        Refusal refusal = Refusal.of(
                RefusalType.MALFORMED_REQUEST,
                "the request body is not well-formed JSON in UTF-8",
                ExecutionStatus.NOT_RUN);
        ctx.setResponseCode(refusal.type().status());
        return new String(RefusalJson.encode(refusal), StandardCharsets.UTF_8);
    }

    private Workspace requireWorkspace(JsonNode request) throws RefusedException {
        ReleaseNote note = state.note()
                .orElseThrow(() -> refused(RefusalType.NOT_READY, "this instance has not received a release note yet"));
        String name = request.path("workspace").asText("");
        try {
            return note.workspace(new WorkspaceId(name))
                    .orElseThrow(() -> refused(
                            RefusalType.UNKNOWN_WORKSPACE,
                            "workspace \"" + name + "\" is not declared by note " + note.number()));
        } catch (InvalidIdentifierException e) {
            throw refused(RefusalType.UNKNOWN_WORKSPACE, e.getMessage());
        }
    }

    private ObjectNode response(Workspace workspace, JsonNode request) {
        List<InstanceView> candidates = eligibleInstances(workspace.homeRegion());
        Optional<TicketIssuer.IssuedTicket> ticket = issueTicket(workspace, request, candidates);
        ObjectNode root = JSON.createObjectNode();
        var instances = root.putArray("instances");
        ticket.ifPresent(issued -> writeInstance(instances.addObject(), issued.owner()));
        for (InstanceView instance : candidates) {
            boolean owner =
                    ticket.filter(issued -> issued.owner().equals(instance)).isPresent();
            if (!owner) {
                writeInstance(instances.addObject(), instance);
            }
        }
        root.put("valid_until_ms", clock.nowMs() + RESPONSE_VALID_MS);
        ticket.ifPresent(issued -> root.put("ticket", issued.text()));
        return root;
    }

    private Optional<TicketIssuer.IssuedTicket> issueTicket(
            Workspace workspace, JsonNode request, List<InstanceView> candidates) {
        String path = request.path("path").asText("");
        String method = request.path("method").asText("POST");
        return path.isEmpty() ? Optional.empty() : ticketIssuer.issue(workspace, method, path, candidates);
    }

    private static void writeInstance(ObjectNode json, InstanceView instance) {
        json.put("name", instance.id().name());
        json.put("address", instance.callerAddress().toString());
        json.put("zone", instance.zone().name());
    }

    private List<InstanceView> eligibleInstances(Optional<Region> home) {
        List<InstanceView> all = new ArrayList<>();
        if (!state.draining()) {
            all.add(state.fleet().self());
        }
        all.addAll(state.fleet().peers());
        return all.stream()
                .filter(instance -> instance.health().acceptsNewWork())
                .filter(instance -> home.isEmpty() || home.get().equals(instance.region()))
                .toList();
    }

    private static RefusedException refused(RefusalType type, String message) {
        return new RefusedException(Refusal.of(type, message, ExecutionStatus.NOT_RUN));
    }
}
