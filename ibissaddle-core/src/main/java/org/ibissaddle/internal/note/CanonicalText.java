package org.ibissaddle.internal.note;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.ibissaddle.note.Adapter;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.PoolRoute;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.WeightStore;
import org.ibissaddle.note.Workspace;

/** Writes the canonical text of a note: notes with equal states have equal texts. */
public final class CanonicalText {
    private final Map<String, Section> sections = new LinkedHashMap<>();

    private CanonicalText() {}

    /**
     * Writes a note as canonical text.
     *
     * @param note the note
     * @return the text
     */
    public static String of(ReleaseNote note) {
        StringBuilder text = new StringBuilder();
        for (Section section : sections(note).values()) {
            text.append('[').append(section.title()).append("]\n");
            section.values()
                    .forEach((key, value) ->
                            text.append(key).append(" = ").append(value).append('\n'));
        }
        return text.toString();
    }

    /**
     * Converts a note to sections.
     *
     * @param note the note
     * @return sections by title, in canonical order
     */
    public static Map<String, Section> sections(ReleaseNote note) {
        CanonicalText text = new CanonicalText();
        text.addSection("note", Map.of("number", String.valueOf(note.number())));
        note.regions().stream().sorted().forEach(region -> text.addSection("region " + region, Map.of()));
        note.zones().forEach((zone, region) -> text.addSection("zone " + zone, Map.of("region", region.toString())));
        note.pools().values().forEach(text::addPool);
        note.adapters().values().forEach(text::addAdapter);
        new TreeMap<>(note.workspaces()).values().forEach(text::addWorkspace);
        note.routes().forEach(text::addRoute);
        note.links().forEach(text::addLink);
        text.addSpill(note.spill());
        text.addWeights(note.weights());
        text.addStore(note.store());
        return text.sections;
    }

    private void addSection(String title, Map<String, String> values) {
        sections.put(title, new Section(title, values));
    }

    private void addPool(Pool pool) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("kind", pool.kind() == PoolKind.MODEL ? "model" : "service");
        if (!pool.models().isEmpty()) {
            values.put(
                    "models",
                    pool.models().stream().sorted().map(Object::toString).collect(Collectors.joining(", ")));
        }
        values.put("checks-tokens", String.valueOf(pool.checksTokens()));
        values.put("price-per-million-tokens", String.valueOf(pool.pricePerMillionTokens()));
        addSection("pool " + pool.id(), values);
    }

    private void addAdapter(Adapter adapter) {
        addSection("adapter " + adapter.id(), Map.of("model", adapter.model().toString()));
    }

    private void addWorkspace(Workspace workspace) {
        Map<String, String> values = new LinkedHashMap<>();
        workspace.homeRegion().ifPresent(home -> values.put("home", home.toString()));
        values.put("requests-per-second", String.valueOf(workspace.requestsPerSecond()));
        values.put("weight", String.valueOf(workspace.weight()));
        values.put("priority", String.valueOf(workspace.priority()));
        addSection("workspace " + workspace.id(), values);
    }

    private void addRoute(PoolRoute route) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("pool", route.pool().toString());
        values.put("method", route.method());
        values.put("path", route.pathPrefix());
        values.put("repeatable", String.valueOf(route.repeatable()));
        addSection("route " + route.name(), values);
    }

    private void addLink(Link link) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("megabits-per-second", String.valueOf(link.bytesPerSecond() / NoteBuilder.BYTES_PER_MEGABIT));
        values.put("round-trip-ms", String.valueOf(link.roundTripMs()));
        values.put("price-per-gigabyte", String.valueOf(link.pricePerGigabyte()));
        addSection("link " + link.a() + " " + link.b(), values);
    }

    private void addSpill(SpillRules spill) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("enabled", String.valueOf(spill.enabled()));
        values.put("max-share", String.valueOf(spill.maxShare()));
        values.put("start-above", String.valueOf(spill.startAbove()));
        values.put("stop-below", String.valueOf(spill.stopBelow()));
        values.put("remote-reserve", String.valueOf(spill.remoteReserve()));
        values.put("link-share", String.valueOf(spill.linkShare()));
        addSection("spill", values);
    }

    private void addWeights(ObjectiveWeights weights) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("cost", String.valueOf(weights.cost()));
        values.put("tail", String.valueOf(weights.tail()));
        values.put("sent-away", String.valueOf(weights.sentAway()));
        values.put("first-token-target-ms", String.valueOf(weights.firstTokenTargetMs()));
        values.put("hedging", String.valueOf(weights.hedging()));
        addSection("weights", values);
    }

    private void addStore(WeightStore store) {
        Map<String, String> values = new LinkedHashMap<>();
        store.region().ifPresent(region -> values.put("region", region.toString()));
        values.put("megabits-per-second", String.valueOf(store.bytesPerSecond() / NoteBuilder.BYTES_PER_MEGABIT));
        values.put("gigabytes-per-model", String.valueOf(store.bytesPerModel() / NoteBuilder.BYTES_PER_GIGABYTE));
        values.put("gigabytes-per-adapter", String.valueOf(store.bytesPerAdapter() / NoteBuilder.BYTES_PER_GIGABYTE));
        addSection("store", values);
    }
}
