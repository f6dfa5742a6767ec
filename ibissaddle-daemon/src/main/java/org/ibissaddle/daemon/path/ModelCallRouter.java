package org.ibissaddle.daemon.path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import org.ibissaddle.daemon.admission.AdmissionGate;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.caller.ClientResponseWriter;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.stream.ModelCallHandler;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.PlacementRequest;

/** Handles model calls: parses the body, waits for admission and passes the call on to be executed. */
public final class ModelCallRouter {
    private static final Set<String> MODEL_CALL_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final SharedState state;
    private final AdmissionGate admissionGate;
    private final ModelCallHandler callHandler;

    /**
     * Creates the handler.
     *
     * @param settings settings of the instance
     * @param state current release note and view of the fleet
     * @param admissionGate delays calls until their pool has capacity
     * @param callHandler sends calls to engines and relays the responses
     */
    public ModelCallRouter(
            Settings settings, SharedState state, AdmissionGate admissionGate, ModelCallHandler callHandler) {
        this.settings = settings;
        this.state = state;
        this.admissionGate = admissionGate;
        this.callHandler = callHandler;
    }

    /**
     * Returns whether a request is a model call.
     *
     * @param head request line and header fields
     * @return whether this class handles the request
     */
    public static boolean matches(RequestHead head) {
        return head.method().equals("POST") && MODEL_CALL_PATHS.contains(head.path());
    }

    /**
     * Responds with the list of declared models.
     *
     * @param response sends the response to the client
     * @throws IOException if the client has disconnected
     */
    public void listModels(ClientResponseWriter response) throws IOException {
        Set<ModelId> models = new TreeSet<>();
        state.note().ifPresent(note -> note.pools().values().forEach(pool -> models.addAll(pool.models())));
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        var data = root.putArray("data");
        models.forEach(model -> data.addObject().put("id", model.model()).put("object", "model"));
        byte[] body = root.toString().getBytes(StandardCharsets.UTF_8);
        response.sendComplete(200, Map.of("content-type", "application/json"), body);
    }

    /**
     * Handles a call and sends the response.
     *
     * @param request the request
     * @param workspace workspace of the request, which may be served in this region
     * @param response sends the response to the client
     * @throws RefusedException if the call is refused or fails before the response has started
     * @throws IOException if the client has disconnected
     */
    public void handle(CallerRequest request, Workspace workspace, ClientResponseWriter response)
            throws RefusedException, IOException {
        ReleaseNote note = state.note().orElseThrow();
        ModelCall call = ModelCallReader.read(request.body());
        PlacementRequest placementRequest = toPlacementRequest(request, workspace, note, call);
        admissionGate.awaitAdmission(placementRequest, response::onDisconnect);
        callHandler.handle(request, placementRequest, call.stream(), response);
    }

    private PlacementRequest toPlacementRequest(
            CallerRequest request, Workspace workspace, ReleaseNote note, ModelCall call) throws RefusedException {
        ModelId model = note.model(call.model())
                .orElseThrow(() -> refused(
                        RefusalType.UNKNOWN_MODEL,
                        "model \"" + call.model() + "\" is not declared by note " + note.number(),
                        ExecutionStatus.NOT_RUN));
        Pool pool = note.poolOf(model).orElseThrow();
        long deadlineMs =
                RequestFieldParser.deadlineMs(request, settings.limits().defaultDeadlineMs());
        boolean forwarded = request.head().header(GatewayHeaders.HOP).isPresent();
        Optional<String> forwardedId =
                request.head().header(GatewayHeaders.REQUEST_ID).filter(name -> forwarded);
        RequestId id =
                new RequestId(forwardedId.orElseGet(() -> UUID.randomUUID().toString()));
        return new PlacementRequest(
                id,
                workspace,
                pool.id(),
                Optional.of(model),
                RequestFieldParser.priority(request.head(), workspace),
                deadlineMs,
                call.promptTokens(),
                call.maxTokens(),
                call.prefixHashes(),
                Set.of(),
                ForwardingHops.forwardingRegions(request.head(), settings.region()));
    }

    private static RefusedException refused(RefusalType type, String message, ExecutionStatus executionStatus) {
        return new RefusedException(Refusal.of(type, message, executionStatus));
    }
}
