package org.ibissaddle.daemon.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.membership.ServerReport;

/** Reads the answer to {@code GET /load}. */
final class LoadReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_LAG_MS = 10_000;

    private LoadReader() {}

    static ServerReport read(ServerId server, String body, long nowMs) throws IOException {
        JsonNode json = JSON.readTree(body);
        long atMs = Math.clamp(json.path("at_ms").asLong(nowMs), nowMs - MAX_LAG_MS, nowMs);
        ServerLoad load = new ServerLoad(
                atMs,
                json.path("running").asInt(),
                json.path("queued").asInt(),
                json.path("queued_tokens").asLong(),
                json.path("decode_tokens").asLong(),
                json.path("capacity_tokens_per_s").asDouble(),
                json.path("hit_rate").asDouble());
        Set<ModelId> models = new HashSet<>();
        Set<AdapterId> adapters = new HashSet<>();
        try {
            json.path("models").forEach(name -> models.add(ModelId.parse(name.asText())));
            json.path("adapters").forEach(name -> adapters.add(new AdapterId(name.asText())));
        } catch (InvalidNameException e) {
            throw new IOException("load of server \"" + server + "\" names something that is no name", e);
        }
        boolean draining = json.path("draining").asBoolean();
        return new ServerReport(
                server, incarnation(json.path("incarnation").asText("")), load, models, adapters, draining);
    }

    /** Reads the gateway's form, or a plain number that grows with each life; others cannot be ordered. */
    private static Optional<Incarnation> incarnation(String text) {
        try {
            return text.chars().allMatch(Character::isDigit) && !text.isEmpty()
                    ? Optional.of(new Incarnation(Long.parseLong(text), 0))
                    : Optional.of(Incarnation.parse(text));
        } catch (InvalidNameException | NumberFormatException e) {
            return Optional.empty();
        }
    }
}
