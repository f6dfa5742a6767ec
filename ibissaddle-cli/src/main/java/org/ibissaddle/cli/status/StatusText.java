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
import org.ibissaddle.cli.status.TextTable.Tone;

/** The status of a fleet as text for operators: first what is wrong, then the tables. */
public final class StatusText {
    private static final int DIGEST_CHARS = 8;
    private static final double MS_PER_SECOND = 1000.0;
    private static final Set<String> HEALTHY = Set.of("LIVE", "LEAVING");

    private final List<InstanceStatus> all;
    private final boolean colours;

    /**
     * Creates the text of a fleet.
     *
     * @param all what each instance said
     * @param colours whether the text goes to a terminal
     */
    public StatusText(List<InstanceStatus> all, boolean colours) {
        this.all = List.copyOf(all);
        this.colours = colours;
    }

    /**
     * Renders the text.
     *
     * @return lines, each ended
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        warnings().forEach(warning -> text.append("warning: ").append(warning).append('\n'));
        text.append(instances().render(colours)).append('\n');
        text.append(servers().render(colours)).append('\n');
        text.append(refusals());
        return text.toString();
    }

    private List<JsonNode> answers() {
        List<JsonNode> answers = new ArrayList<>();
        all.forEach(one -> one.answer().ifPresent(answers::add));
        answers.sort(Comparator.comparing((JsonNode one) -> one.path("region").asText())
                .thenComparing(one -> one.path("zone").asText())
                .thenComparing(one -> one.path("instance").asText()));
        return answers;
    }

    private List<String> warnings() {
        List<String> warnings = new ArrayList<>();
        Set<String> notes = new TreeSet<>();
        for (InstanceStatus one : all) {
            one.answer().ifPresent(answer -> notes.add(note(answer)));
            if (one.answer().isEmpty()) {
                warnings.add("the instance at " + one.control() + " gave " + one.failure());
            }
        }
        if (notes.size() > 1) {
            warnings.add("instances hold different release notes: " + String.join(", ", notes));
        }
        for (JsonNode answer : answers()) {
            cutOff(answer)
                    .ifPresent(peers -> warnings.add(answer.path("instance").asText() + " is cut off from " + peers));
        }
        return warnings;
    }

    private static String note(JsonNode answer) {
        JsonNode note = answer.path("note");
        if (note.isMissingNode()) {
            return "none";
        }
        String digest = note.path("digest").asText();
        return note.path("number").asText() + " " + digest.substring(0, Math.min(DIGEST_CHARS, digest.length()));
    }

    private static Optional<String> cutOff(JsonNode answer) {
        List<String> peers = new ArrayList<>();
        for (JsonNode peer : answer.path("peers")) {
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
        for (JsonNode answer : answers()) {
            Optional<String> cutOff = cutOff(answer);
            table.row(
                    Cell.of(answer.path("region").asText()),
                    Cell.of(answer.path("zone").asText()),
                    Cell.of(answer.path("instance").asText()),
                    state(answer),
                    Cell.of(note(answer)),
                    Cell.of(age(answer)),
                    Cell.of(answer.path("open_requests").asText("-")),
                    new Cell(cutOff.orElse("-"), cutOff.isPresent() ? Tone.BAD : Tone.PLAIN));
        }
        return table;
    }

    private static Cell state(JsonNode answer) {
        if (answer.path("draining").asBoolean()) {
            return new Cell("draining", Tone.DOUBT);
        }
        return answer.path("note").isMissingNode() ? new Cell("no note", Tone.BAD) : new Cell("ready", Tone.GOOD);
    }

    private static String age(JsonNode answer) {
        if (!answer.has("now_ms")) {
            return "-";
        }
        long age =
                answer.path("now_ms").asLong() - answer.path("refreshed_at_ms").asLong();
        return String.format(Locale.ROOT, "%.1f s ago", Math.max(0, age) / MS_PER_SECOND);
    }

    private TextTable servers() {
        TreeMap<String, JsonNode> rows = new TreeMap<>();
        for (JsonNode answer : answers()) {
            for (JsonNode server : answer.path("servers")) {
                String region = answer.path("region").asText();
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

    private static Cell health(String word) {
        Tone tone = word.equals("LIVE") ? Tone.GOOD : HEALTHY.contains(word) ? Tone.DOUBT : Tone.BAD;
        return new Cell(word.toLowerCase(Locale.ROOT), tone);
    }

    private static String models(JsonNode server) {
        List<String> models = new ArrayList<>();
        server.path("models").forEach(model -> models.add(model.asText()));
        return models.isEmpty() ? "-" : String.join(" ", models);
    }

    private String refusals() {
        TextTable table = new TextTable().heading("REFUSED BY", "TYPE", "TOTAL", "PER MINUTE", "LAST MESSAGE");
        boolean any = false;
        for (JsonNode answer : answers()) {
            for (JsonNode refusal : answer.path("refusals")) {
                any = true;
                double perMinute = refusal.path("per_minute").asDouble();
                table.row(
                        Cell.of(answer.path("instance").asText()),
                        new Cell(refusal.path("type").asText(), perMinute > 1 ? Tone.BAD : Tone.PLAIN),
                        Cell.of(refusal.path("total").asText()),
                        Cell.of(String.format(Locale.ROOT, "%.1f", perMinute)),
                        Cell.of(refusal.path("message").asText()));
            }
        }
        return any ? table.render(colours) : "no requests refused\n";
    }
}
