package org.ibissaddle.cli.status;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ibissaddle.cli.status.TextTable.Cell;
import org.ibissaddle.cli.status.TextTable.CellStyle;

/** Renders the status of a fleet as text for operators: warnings first, then tables. */
public final class StatusText {
    private static final int DIGEST_CHARS = 8;
    private static final double MS_PER_SECOND = 1000.0;
    private static final Set<String> HEALTHY = Set.of("LIVE", "LEAVING");

    private final List<InstanceStatus> statuses;
    private final boolean colours;

    /**
     * Creates a renderer.
     *
     * @param statuses status of each instance
     * @param colours whether to use ANSI colours
     */
    public StatusText(List<InstanceStatus> statuses, boolean colours) {
        this.statuses = List.copyOf(statuses);
        this.colours = colours;
    }

    /**
     * Renders the text.
     *
     * @return lines, each terminated by a line break
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        warnings().forEach(warning -> text.append("warning: ").append(warning).append('\n'));
        text.append(instances().render(colours)).append('\n');
        text.append(servers().render(colours)).append('\n');
        text.append(refusals());
        return text.toString();
    }

    private List<JsonNode> responses() {
        List<JsonNode> responses = new ArrayList<>();
        statuses.forEach(status -> status.response().ifPresent(responses::add));
        responses.sort(
                Comparator.comparing((JsonNode status) -> status.path("region").asText())
                        .thenComparing(status -> status.path("zone").asText())
                        .thenComparing(status -> status.path("instance").asText()));
        return responses;
    }

    private List<String> warnings() {
        List<String> warnings = new ArrayList<>();
        Set<String> notes = new TreeSet<>();
        for (InstanceStatus status : statuses) {
            status.response().ifPresent(response -> notes.add(note(response)));
            if (status.response().isEmpty()) {
                warnings.add("the instance at " + status.control() + " gave " + status.failure());
            }
        }
        if (notes.size() > 1) {
            warnings.add("instances hold different release notes: " + String.join(", ", notes));
        }
        for (JsonNode response : responses()) {
            unreachablePeers(response)
                    .ifPresent(peers -> warnings.add(response.path("instance").asText() + " is cut off from " + peers));
        }
        return warnings;
    }

    private static String note(JsonNode response) {
        JsonNode note = response.path("note");
        if (note.isMissingNode()) {
            return "none";
        }
        String digest = note.path("digest").asText();
        return note.path("number").asText() + " " + digest.substring(0, Math.min(DIGEST_CHARS, digest.length()));
    }

    private static Optional<String> unreachablePeers(JsonNode response) {
        List<String> peers = new ArrayList<>();
        for (JsonNode peer : response.path("peers")) {
            if (!HEALTHY.contains(peer.path("health").asText())) {
                peers.add(peer.path("name").asText() + " ("
                        + peer.path("health").asText().toLowerCase(Locale.ROOT) + ")");
            }
        }
        return peers.isEmpty() ? Optional.empty() : Optional.of(String.join(", ", peers));
    }

    private TextTable instances() {
        TextTable table = new TextTable()
                .heading("REGION", "ZONE", "INSTANCE", "STATE", "NOTE", "REFRESHED", "OPEN", "CUT OFF FROM");
        for (JsonNode response : responses()) {
            Optional<String> unreachablePeers = unreachablePeers(response);
            table.row(
                    Cell.of(response.path("region").asText()),
                    Cell.of(response.path("zone").asText()),
                    Cell.of(response.path("instance").asText()),
                    state(response),
                    Cell.of(note(response)),
                    Cell.of(refreshAge(response)),
                    Cell.of(response.path("open_requests").asText("-")),
                    new Cell(
                            unreachablePeers.orElse("-"),
                            unreachablePeers.isPresent() ? CellStyle.ERROR : CellStyle.PLAIN));
        }
        return table;
    }

    private static Cell state(JsonNode response) {
        if (response.path("draining").asBoolean()) {
            return new Cell("draining", CellStyle.WARNING);
        }
        return response.path("note").isMissingNode()
                ? new Cell("no note", CellStyle.ERROR)
                : new Cell("ready", CellStyle.OK);
    }

    private static String refreshAge(JsonNode response) {
        if (!response.has("now_ms")) {
            return "-";
        }
        long ageMs = response.path("now_ms").asLong()
                - response.path("refreshed_at_ms").asLong();
        return String.format(Locale.ROOT, "%.1f s ago", Math.max(0, ageMs) / MS_PER_SECOND);
    }

    private TextTable servers() {
        TreeMap<String, JsonNode> rows = new TreeMap<>();
        for (JsonNode response : responses()) {
            for (JsonNode server : response.path("servers")) {
                String region = response.path("region").asText();
                rows.putIfAbsent(region + "\n" + server.path("name").asText(), server);
            }
        }
        TextTable table =
                new TextTable().heading("REGION", "ZONE", "SERVER", "POOL", "HEALTH", "RUNNING", "QUEUED", "MODELS");
        rows.forEach((key, server) -> table.row(
                Cell.of(key.substring(0, key.indexOf('\n'))),
                Cell.of(server.path("zone").asText()),
                Cell.of(server.path("name").asText()),
                Cell.of(server.path("pool").asText()),
                health(server.path("health").asText()),
                Cell.of(server.path("running").asText()),
                Cell.of(server.path("queued").asText()),
                Cell.of(models(server))));
        return table;
    }

    private static Cell health(String health) {
        CellStyle style =
                health.equals("LIVE") ? CellStyle.OK : HEALTHY.contains(health) ? CellStyle.WARNING : CellStyle.ERROR;
        return new Cell(health.toLowerCase(Locale.ROOT), style);
    }

    private static String models(JsonNode server) {
        List<String> models = new ArrayList<>();
        server.path("models").forEach(model -> models.add(model.asText()));
        return models.isEmpty() ? "-" : String.join(" ", models);
    }

    private String refusals() {
        TextTable table = new TextTable().heading("REFUSED BY", "TYPE", "TOTAL", "PER MINUTE", "LAST MESSAGE");
        boolean any = false;
        for (JsonNode response : responses()) {
            for (JsonNode refusal : response.path("refusals")) {
                any = true;
                double perMinute = refusal.path("per_minute").asDouble();
                table.row(
                        Cell.of(response.path("instance").asText()),
                        new Cell(refusal.path("type").asText(), perMinute > 1 ? CellStyle.ERROR : CellStyle.PLAIN),
                        Cell.of(refusal.path("total").asText()),
                        Cell.of(String.format(Locale.ROOT, "%.1f", perMinute)),
                        Cell.of(refusal.path("message").asText()));
            }
        }
        return any ? table.render(colours) : "no requests refused\n";
    }
}
