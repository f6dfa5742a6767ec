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

/** Client that sends non-idempotent calls with tickets. */
final class AtMostOnceClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final TicketCodec TICKETS =
            TicketCodec.withKey(DeploymentKey.of(Cluster.DEPLOYMENT_KEY.getBytes(StandardCharsets.UTF_8)));

    private final Cluster cluster;
    private final OkHttpClient http = new OkHttpClient.Builder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(1, TimeUnit.SECONDS)
            .callTimeout(3, TimeUnit.SECONDS)
            .build();

    AtMostOnceClient(Cluster cluster) {
        this.cluster = cluster;
    }

    /** A ticket as the instance returned it, and its decoded form. */
    record IssuedTicket(String encoded, Ticket ticket) {}

    /** Requests a ticket from an instance; empty if the instance issued none. */
    Optional<IssuedTicket> requestTicket(String instance) {
        String requestBody = "{\"workspace\":\"w\",\"method\":\"POST\",\"path\":\"/buy\"}";
        Request request = new Request.Builder()
                .url(cluster.controlUrl(instance) + "/v1/ask")
                .post(RequestBody.create(requestBody, JSON))
                .build();
        try (Response response = http.newCall(request).execute()) {
            JsonNode responseBody = MAPPER.readTree(response.body().string());
            String encoded = responseBody.path("ticket").asText("");
            return encoded.isEmpty() ? Optional.empty() : Optional.of(new IssuedTicket(encoded, TICKETS.read(encoded)));
        } catch (IOException e) {
            return Optional.empty();
        } catch (TicketException e) {
            throw new AssertionError(e);
        }
    }

    /** Sends a call through the proxy; empty if the client received no response. */
    Optional<ExecutionStatus> send(String instance, String ticket) {
        return sendTo(cluster.callerUrl(instance), ticket);
    }

    /** Sends a call directly to an instance, bypassing the proxy. */
    Optional<ExecutionStatus> sendBypassingProxy(String instance, String ticket) {
        return sendTo(cluster.directUrl(instance), ticket);
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
