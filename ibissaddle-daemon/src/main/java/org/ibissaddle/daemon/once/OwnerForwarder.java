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
import org.ibissaddle.daemon.backend.ServiceRequest;
import org.ibissaddle.daemon.backend.SourceSocketFactory;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.daemon.path.Hops;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.Outcome;
import org.ibissaddle.dispatch.RelayedOutcome;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;
import org.ibissaddle.ticket.Ticket;

/** Hands a ticketed call to the only instance that may run it, or says that its fate is unknown. */
final class OwnerForward {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final Settings settings;
    private final SharedState state;
    private final Clock clock;
    private final OkHttpClient http;

    OwnerForward(Settings settings, SharedState state, Clock clock) {
        this.settings = settings;
        this.state = state;
        this.clock = clock;
        http = new OkHttpClient.Builder()
                .socketFactory(SourceSocketFactory.from(settings.callerAddress()))
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .followRedirects(false)
                .build();
    }

    /** Asks the owner; a call that was forwarded already is not forwarded again. */
    Outcome toOwner(Ticket ticket, ServiceCall call) {
        if (call.request().head().header(Headers.HOP).isPresent()) {
            return unknown(RefusalType.FORWARD_REFUSED, "the call was forwarded once already");
        }
        Optional<InstanceView> owner = state.fleet().peer(ticket.owner());
        if (owner.isEmpty()) {
            return unknown(RefusalType.OWNER_UNREACHABLE, "instance " + ticket.owner() + " is not known here");
        }
        Optional<Incarnation> life = owner.get().incarnation();
        if (life.isPresent() && life.get().compareTo(ticket.incarnation()) > 0) {
            return unknown(RefusalType.OWNER_RESTARTED, "instance " + ticket.owner() + " has restarted");
        }
        long leftMs = Math.max(1, ticket.deadlineMs() - clock.nowMs());
        var sent = http.newCall(request(owner.get(), call));
        sent.timeout().timeout(Math.max(CONNECT_TIMEOUT_MS, leftMs), TimeUnit.MILLISECONDS);
        try (Response response = sent.execute()) {
            return heard(response);
        } catch (IOException e) {
            return unknown(RefusalType.OWNER_UNREACHABLE, "instance " + ticket.owner() + " does not answer");
        }
    }

    private Request request(InstanceView owner, ServiceCall call) {
        ServiceRequest inner =
                call.toInstance(Hops.of(settings), state.recorder().send());
        boolean bodiless = inner.method().equals("GET") || inner.method().equals("HEAD");
        String type = inner.headers().getOrDefault("Content-Type", "application/octet-stream");
        Request.Builder built = new Request.Builder()
                .url("http://" + owner.callerAddress() + inner.target())
                .method(inner.method(), bodiless ? null : RequestBody.create(inner.body(), MediaType.parse(type)));
        inner.headers().forEach(built::header);
        return built.build();
    }

    private static Outcome heard(Response response) throws IOException {
        byte[] body = response.body().bytes();
        Fate fate = Fate.of(response.header(Headers.RAN)).orElse(Fate.UNKNOWN);
        Optional<Refusal> refusal = refusal(body, fate);
        if (refusal.isPresent()) {
            return RelayedOutcome.of(refusal.get());
        }
        if (fate != Fate.RAN) {
            return unknown(RefusalType.OWNER_UNREACHABLE, "the owner's answer was not understood");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers()
                .forEach(pair -> headers.put(pair.getFirst().toLowerCase(java.util.Locale.ROOT), pair.getSecond()));
        headers.keySet().retainAll(java.util.Set.of("content-type", "location", "x-request-id", "x-server"));
        return new Outcome.Ran(new Answer(response.code(), headers, body));
    }

    private static Optional<Refusal> refusal(byte[] body, Fate fate) {
        try {
            JsonNode error = JSON.readTree(body).path("error");
            String word = error.path("type").asText("");
            for (RefusalType type : RefusalType.values()) {
                if (type.word().equals(word) && error.path("ran").asText("").equals(fate.word())) {
                    return Optional.of(Refusal.of(type, error.path("message").asText(""), fate));
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
        return new Outcome.Unknown(Refusal.of(type, message, Fate.UNKNOWN));
    }
}
