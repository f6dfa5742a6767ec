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
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.membership.ServerReport;

/** Parses a backend server's response to {@code GET /load}. */
final class LoadReportParser {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_REPORT_AGE_MS = 10_000;

    private LoadReportParser() {}

    static ServerReport parse(ServerId server, String body, long nowMs) throws IOException {
        JsonNode json = JSON.readTree(body);
        long atMs = Math.clamp(json.path("at_ms").asLong(nowMs), nowMs - MAX_REPORT_AGE_MS, nowMs);
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
        } catch (InvalidIdentifierException e) {
            throw new IOException(
                    "load report of server \"" + server + "\" contains an invalid model or adapter name", e);
        }
        boolean draining = json.path("draining").asBoolean();
        return new ServerReport(
                server, parseIncarnation(json.path("incarnation").asText("")), load, models, adapters, draining);
    }

    /**
     * Parses an incarnation in the format of the gateway, or a plain number that increases with each restart of the
     * server. Other formats have no order and give an empty result.
     */
    private static Optional<Incarnation> parseIncarnation(String text) {
        try {
            return text.chars().allMatch(Character::isDigit) && !text.isEmpty()
                    ? Optional.of(new Incarnation(Long.parseLong(text), 0))
                    : Optional.of(Incarnation.parse(text));
        } catch (InvalidIdentifierException | NumberFormatException e) {
            return Optional.empty();
        }
    }
}
