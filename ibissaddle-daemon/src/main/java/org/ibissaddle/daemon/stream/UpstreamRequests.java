package org.ibissaddle.daemon.stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import okhttp3.Request;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.path.ForwardingHops;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.placement.PlacementRequest;

/** Builds the requests to engines and other instances for one model call. */
final class UpstreamRequests {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final TimelineRecorder recorder;
    private final PlacementRequest placementRequest;
    private final String path;
    private final byte[] body;

    UpstreamRequests(
            Settings settings, TimelineRecorder recorder, PlacementRequest placementRequest, String path, byte[] body) {
        this.recorder = recorder;
        this.settings = settings;
        this.placementRequest = placementRequest;
        this.path = path;
        this.body = body;
    }

    /** Returns the request body of the caller, which must not be modified. */
    byte[] body() {
        return body;
    }

    /** Builds the request that starts an attempt. If {@code text} is present, the engine continues after it. */
    Request start(Target target, int attempt, Optional<String> text) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(GatewayHeaders.REQUEST_ID, placementRequest.request().name());
        headers.put(GatewayHeaders.ATTEMPT, Integer.toString(attempt));
        headers.put(GatewayHeaders.PRIORITY, Integer.toString(placementRequest.priority()));
        headers.put(GatewayHeaders.WORKSPACE, placementRequest.workspace().id().name());
        headers.put(GatewayHeaders.DEADLINE, Long.toString(placementRequest.deadlineMs()));
        if (target.peer()) {
            headers.put(GatewayHeaders.HOP, ForwardingHops.format(settings));
            headers.put(TimelineRecorder.HEADER, recorder.nextTimestamp().toString());
        }
        return StreamClient.postRequest(
                target.address(),
                path,
                headers,
                text.map(this::withContinuation).orElse(body));
    }

    /** Builds the request that resumes a response at the same engine or instance. */
    Request resume(Target target, long offset, Optional<String> lastEventId) {
        if (!target.peer()) {
            return StreamClient.resumeRequest(target.address(), placementRequest.request(), offset);
        }
        return new Request.Builder()
                .url("http://" + target.address() + "/v1/streams")
                .header(
                        GatewayHeaders.WORKSPACE,
                        placementRequest.workspace().id().name())
                .header("Last-Event-ID", lastEventId.orElse(""))
                .header(GatewayHeaders.HOP, ForwardingHops.format(settings))
                .header(TimelineRecorder.HEADER, recorder.nextTimestamp().toString())
                .build();
    }

    private byte[] withContinuation(String text) {
        try {
            ObjectNode root = (ObjectNode) JSON.readTree(body);
            return JSON.writeValueAsBytes(root.put("continue_text", text));
        } catch (IOException e) {
            throw new IllegalStateException(
                    "a request body that was parsed before is not a JSON object; please report this bug", e);
        }
    }
}
