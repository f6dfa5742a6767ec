package org.ibissaddle.daemon.once;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.ibissaddle.daemon.backend.LocalAddressSocketFactory;
import org.ibissaddle.daemon.backend.ServiceRequest;
import org.ibissaddle.daemon.path.ForwardingHops;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.RelayedOutcome;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Ticket;

/**
 * Forwards a call to the instance that owns its ticket, which is the only one that may execute it. If forwarding fails,
 * the outcome is {@link Outcome.Unknown}.
 */
final class OwnerForwarder {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final Settings settings;
    private final SharedState state;
    private final Clock clock;
    private final OkHttpClient http;

    OwnerForwarder(Settings settings, SharedState state, Clock clock) {
        this.settings = settings;
        this.state = state;
        this.clock = clock;
        http = new OkHttpClient.Builder()
                .socketFactory(LocalAddressSocketFactory.from(settings.callerAddress()))
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .followRedirects(false)
                .build();
    }

    /** Forwards the call to the owner of the ticket, unless another instance has already forwarded it. */
    Outcome forward(Ticket ticket, ServiceCall call) {
        if (call.request().head().header(GatewayHeaders.HOP).isPresent()) {
            return unknown(RefusalType.FORWARD_REFUSED, "the call has already been forwarded once");
        }
        Optional<InstanceView> owner = state.fleet().peer(ticket.owner());
        if (owner.isEmpty()) {
            return unknown(
                    RefusalType.OWNER_UNREACHABLE, "instance " + ticket.owner() + " is unknown to this instance");
        }
        Optional<Incarnation> currentIncarnation = owner.get().incarnation();
        if (currentIncarnation.isPresent() && currentIncarnation.get().compareTo(ticket.incarnation()) > 0) {
            return unknown(
                    RefusalType.OWNER_RESTARTED,
                    "instance " + ticket.owner() + " has restarted since it issued key " + ticket.key());
        }
        long remainingMs = Math.max(1, ticket.deadlineMs() - clock.nowMs());
        var httpCall = http.newCall(toHttpRequest(owner.get(), call));
        httpCall.timeout().timeout(Math.max(CONNECT_TIMEOUT_MS, remainingMs), TimeUnit.MILLISECONDS);
        try (Response response = httpCall.execute()) {
            return toOutcome(response);
        } catch (IOException e) {
            return unknown(RefusalType.OWNER_UNREACHABLE, "instance " + ticket.owner() + " did not respond");
        }
    }

    private Request toHttpRequest(InstanceView owner, ServiceCall call) {
        ServiceRequest forwarded = call.toInstanceRequest(
                ForwardingHops.format(settings), state.recorder().nextTimestamp());
        boolean withoutBody =
                forwarded.method().equals("GET") || forwarded.method().equals("HEAD");
        String type = forwarded.headers().getOrDefault("Content-Type", "application/octet-stream");
        Request.Builder builder = new Request.Builder()
                .url("http://" + owner.callerAddress() + forwarded.target())
                .method(
                        forwarded.method(),
                        withoutBody ? null : RequestBody.create(forwarded.body(), MediaType.parse(type)));
        forwarded.headers().forEach(builder::header);
        return builder.build();
    }

    private static Outcome toOutcome(Response response) throws IOException {
        byte[] body = response.body().bytes();
        ExecutionStatus executionStatus =
                ExecutionStatus.of(response.header(GatewayHeaders.RAN)).orElse(ExecutionStatus.UNKNOWN);
        Optional<Refusal> refusal = parseRefusal(body, executionStatus);
        if (refusal.isPresent()) {
            return RelayedOutcome.of(refusal.get());
        }
        if (executionStatus != ExecutionStatus.RAN) {
            return unknown(RefusalType.OWNER_UNREACHABLE, "the response of the ticket owner is invalid");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers()
                .forEach(header ->
                        headers.put(header.getFirst().toLowerCase(java.util.Locale.ROOT), header.getSecond()));
        headers.keySet().retainAll(java.util.Set.of("content-type", "location", "x-request-id", "x-server"));
        return new Outcome.Ran(new Answer(response.code(), headers, body));
    }

    private static Optional<Refusal> parseRefusal(byte[] body, ExecutionStatus executionStatus) {
        try {
            JsonNode error = JSON.readTree(body).path("error");
            String typeName = error.path("type").asText("");
            for (RefusalType type : RefusalType.values()) {
                if (type.wireName().equals(typeName)
                        && error.path("ran").asText("").equals(executionStatus.wireName())) {
                    return Optional.of(Refusal.of(type, error.path("message").asText(""), executionStatus));
                }
            }
            return Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Outcome unknown(RefusalType type, String message) {
        return new Outcome.Unknown(Refusal.of(type, message, ExecutionStatus.UNKNOWN));
    }
}
