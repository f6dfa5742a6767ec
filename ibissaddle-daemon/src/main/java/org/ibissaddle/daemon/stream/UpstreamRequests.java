package org.ibissaddle.daemon.stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import okhttp3.Request;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.daemon.path.Hops;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.timeline.Recorder;
import org.ibissaddle.placement.PlacementRequest;

/** Builds the requests to engines and other instances for one model call. */
final class UpstreamRequests {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final Recorder recorder;
    private final PlacementRequest work;
    private final String path;
    private final byte[] body;

    UpstreamRequests(Settings settings, Recorder recorder, PlacementRequest work, String path, byte[] body) {
        this.recorder = recorder;
        this.settings = settings;
        this.work = work;
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
        headers.put(Headers.REQUEST_ID, work.request().name());
        headers.put(Headers.ATTEMPT, Integer.toString(attempt));
        headers.put(Headers.PRIORITY, Integer.toString(work.priority()));
        headers.put(Headers.WORKSPACE, work.workspace().id().name());
        headers.put(Headers.DEADLINE, Long.toString(work.deadlineMs()));
        if (target.peer()) {
            headers.put(Headers.HOP, Hops.of(settings));
            headers.put(Recorder.HEADER, recorder.send().toString());
        }
        return StreamClient.post(
                target.address(),
                path,
                headers,
                text.map(this::withContinuation).orElse(body));
    }

    /** Builds the request that resumes a response at the same engine or instance. */
    Request resume(Target target, long offset, Optional<String> lastEventId) {
        if (!target.peer()) {
            return StreamClient.at(target.address(), work.request(), offset);
        }
        return new Request.Builder()
                .url("http://" + target.address() + "/v1/streams")
                .header(Headers.WORKSPACE, work.workspace().id().name())
                .header("Last-Event-ID", lastEventId.orElse(""))
                .header(Headers.HOP, Hops.of(settings))
                .header(Recorder.HEADER, recorder.send().toString())
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
