package org.ibissaddle.daemon.once;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.daemon.backend.ServiceRequest;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.daemon.timeline.Recorder;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.placement.Work;
import org.ibissaddle.timeline.Stamp;

/**
 * A call of a plain service.
 *
 * @param request the caller's request
 * @param workspace its workspace
 * @param pool pool that serves it
 * @param key idempotency key that the service is given
 * @param deadlineMs when the call is over, epoch milliseconds
 * @param visited regions that sent it on before
 */
record ServiceCall(
        CallerRequest request, Workspace workspace, PoolId pool, String key, long deadlineMs, List<Region> visited) {
    private static final List<String> PASSED = List.of("Content-Type", "Accept");

    /** What placement needs to know. */
    Work work(Set<org.ibissaddle.id.ServerId> tried) {
        return new Work(
                new RequestId(key),
                workspace,
                pool,
                Optional.empty(),
                workspace.priority(),
                deadlineMs,
                0,
                0,
                List.of(),
                tried,
                visited);
    }

    /** What a server is sent. */
    ServiceRequest toServer(int attempt) {
        Map<String, String> headers = passed();
        headers.put("Idempotency-Key", key);
        headers.put(Headers.REQUEST_ID, key);
        headers.put(Headers.ATTEMPT, Integer.toString(attempt));
        headers.put(Headers.DEADLINE, Long.toString(deadlineMs));
        return built(headers);
    }

    /** What another instance is sent. */
    ServiceRequest toInstance(String hop, Stamp stamp) {
        Map<String, String> headers = passed();
        headers.put(Headers.HOP, hop);
        headers.put(Recorder.HEADER, stamp.toString());
        headers.put(Headers.DEADLINE, Long.toString(deadlineMs));
        request.head().header(Headers.TICKET).ifPresent(ticket -> headers.put(Headers.TICKET, ticket));
        return built(headers);
    }

    private ServiceRequest built(Map<String, String> headers) {
        String query =
                request.head().query().isEmpty() ? "" : "?" + request.head().query();
        return new ServiceRequest(request.head().method(), request.head().path() + query, headers, request.body());
    }

    private Map<String, String> passed() {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String name : PASSED) {
            request.head().header(name).ifPresent(value -> headers.put(name, value));
        }
        headers.put(Headers.WORKSPACE, workspace.id().name());
        return headers;
    }
}
