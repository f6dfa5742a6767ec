package org.ibissaddle.daemon.once;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.daemon.backend.ServiceRequest;
import org.ibissaddle.daemon.caller.CallerRequest;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.timeline.HybridTimestamp;

/**
 * A call to a plain service.
 *
 * @param request request of the caller
 * @param workspace workspace of the request
 * @param pool pool of backend servers that serves the call
 * @param key idempotency key that is sent to the service
 * @param deadlineMs deadline of the call in epoch milliseconds
 * @param forwardedBy regions that have forwarded the call
 */
record ServiceCall(
        CallerRequest request,
        Workspace workspace,
        PoolId pool,
        String key,
        long deadlineMs,
        List<Region> forwardedBy) {
    private static final List<String> FORWARDED_HEADERS = List.of("Content-Type", "Accept");

    /** Returns the attributes of the call that a placement decision needs. */
    PlacementRequest toPlacementRequest(Set<org.ibissaddle.id.ServerId> excludedServers) {
        return new PlacementRequest(
                new RequestId(key),
                workspace,
                pool,
                Optional.empty(),
                workspace.priority(),
                deadlineMs,
                0,
                0,
                List.of(),
                excludedServers,
                forwardedBy);
    }

    /** Builds the request to a backend server. */
    ServiceRequest toServerRequest(int attempt) {
        Map<String, String> headers = forwardedHeaders();
        headers.put("Idempotency-Key", key);
        headers.put(GatewayHeaders.REQUEST_ID, key);
        headers.put(GatewayHeaders.ATTEMPT, Integer.toString(attempt));
        headers.put(GatewayHeaders.DEADLINE, Long.toString(deadlineMs));
        return toServiceRequest(headers);
    }

    /** Builds the request to another instance. */
    ServiceRequest toInstanceRequest(String hop, HybridTimestamp stamp) {
        Map<String, String> headers = forwardedHeaders();
        headers.put(GatewayHeaders.HOP, hop);
        headers.put(TimelineRecorder.HEADER, stamp.toString());
        headers.put(GatewayHeaders.DEADLINE, Long.toString(deadlineMs));
        request.head().header(GatewayHeaders.TICKET).ifPresent(ticket -> headers.put(GatewayHeaders.TICKET, ticket));
        return toServiceRequest(headers);
    }

    private ServiceRequest toServiceRequest(Map<String, String> headers) {
        String query =
                request.head().query().isEmpty() ? "" : "?" + request.head().query();
        return new ServiceRequest(request.head().method(), request.head().path() + query, headers, request.body());
    }

    private Map<String, String> forwardedHeaders() {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String name : FORWARDED_HEADERS) {
            request.head().header(name).ifPresent(value -> headers.put(name, value));
        }
        headers.put(GatewayHeaders.WORKSPACE, workspace.id().name());
        return headers;
    }
}
