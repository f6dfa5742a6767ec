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
import org.ibissaddle.placement.Work;

/** Builds what engines and other instances are sent for one model call. */
final class EngineRequests {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final Recorder recorder;
    private final Work work;
    private final String path;
    private final byte[] body;

    EngineRequests(Settings settings, Recorder recorder, Work work, String path, byte[] body) {
        this.recorder = recorder;
        this.settings = settings;
        this.work = work;
        this.path = path;
        this.body = body;
    }

    /** The caller's body, not to be changed. */
    byte[] body() {
        return body;
    }

    /** Starts an attempt, behind the text that the caller has. */
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
                target.address(), path, headers, text.map(this::behind).orElse(body));
    }

    /** Reads on at the same engine or instance. */
    Request resume(Target target, long offset, Optional<String> lastId) {
        if (!target.peer()) {
            return StreamClient.at(target.address(), work.request(), offset);
        }
        return new Request.Builder()
                .url("http://" + target.address() + "/v1/streams")
                .header(Headers.WORKSPACE, work.workspace().id().name())
                .header("Last-Event-ID", lastId.orElse(""))
                .header(Headers.HOP, Hops.of(settings))
                .header(Recorder.HEADER, recorder.send().toString())
                .build();
    }

    private byte[] behind(String text) {
        try {
            ObjectNode root = (ObjectNode) JSON.readTree(body);
            return JSON.writeValueAsBytes(root.put("continue_text", text));
        } catch (IOException e) {
            throw new IllegalStateException("a body that was read before is no JSON object; report this fault", e);
        }
    }
}
