package org.ibissaddle.proof.requests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.Ticket;
import org.ibissaddle.ticket.TicketCodec;
import org.ibissaddle.ticket.TicketException;

/** A caller of calls that may run once only. */
final class OnceCaller {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final TicketCodec TICKETS =
            TicketCodec.withKey(DeploymentKey.of(Cluster.KEY.getBytes(StandardCharsets.UTF_8)));

    private final Cluster cluster;
    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(1, TimeUnit.SECONDS)
            .callTimeout(3, TimeUnit.SECONDS)
            .build();

    OnceCaller(Cluster cluster) {
        this.cluster = cluster;
    }

    record Asked(String text, Ticket ticket) {}

    /** Asks an instance for a ticket. */
    Optional<Asked> ask(String instance) {
        String question = "{\"workspace\":\"w\",\"method\":\"POST\",\"path\":\"/buy\"}";
        Request request = new Request.Builder()
                .url(cluster.control(instance) + "/v1/ask")
                .post(RequestBody.create(question, JSON))
                .build();
        try (Response response = http.newCall(request).execute()) {
            JsonNode answer = MAPPER.readTree(response.body().string());
            String text = answer.path("ticket").asText("");
            return text.isEmpty() ? Optional.empty() : Optional.of(new Asked(text, TICKETS.read(text)));
        } catch (IOException e) {
            return Optional.empty();
        } catch (TicketException e) {
            throw new AssertionError(e);
        }
    }

    /** Sends a call; empty when the caller's own connection gave no answer. */
    Optional<ExecutionStatus> send(String instance, String ticket) {
        return sendTo(cluster.caller(instance), ticket);
    }

    /** Sends a call past the proxy. */
    Optional<ExecutionStatus> sendDirectly(String instance, String ticket) {
        return sendTo(cluster.direct(instance), ticket);
    }

    private Optional<ExecutionStatus> sendTo(String url, String ticket) {
        Request request = new Request.Builder()
                .url(url + "/buy")
                .header("X-Workspace", "w")
                .header("X-Ticket", ticket)
                .post(RequestBody.create("{\"lot\":1}", JSON))
                .build();
        try (Response response = http.newCall(request).execute()) {
            response.body().bytes();
            return ExecutionStatus.of(response.header("X-Ran"));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
