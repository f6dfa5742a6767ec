package org.ibissaddle.internal.note;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.ibissaddle.note.Adapter;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Route;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.WeightStore;
import org.ibissaddle.note.Weights;
import org.ibissaddle.note.Workspace;

/** The canonical text of a note: equal states have equal text. */
public final class CanonicalText {
    private final Map<String, Section> sections = new LinkedHashMap<>();

    private CanonicalText() {}

    /**
     * Writes a note.
     *
     * @param note the note
     * @return its text
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
     * Splits a note into sections.
     *
     * @param note the note
     * @return sections by title, in canonical order
     */
    public static Map<String, Section> sections(ReleaseNote note) {
        CanonicalText text = new CanonicalText();
        text.add("note", Map.of("number", String.valueOf(note.number())));
        note.regions().stream().sorted().forEach(region -> text.add("region " + region, Map.of()));
        note.zones().forEach((zone, region) -> text.add("zone " + zone, Map.of("region", region.toString())));
        note.pools().values().forEach(text::pool);
        note.adapters().values().forEach(text::adapter);
        new TreeMap<>(note.workspaces()).values().forEach(text::workspace);
        note.routes().forEach(text::route);
        note.links().forEach(text::link);
        text.spill(note.spill());
        text.weights(note.weights());
        text.store(note.store());
        return text.sections;
    }

    private void add(String title, Map<String, String> values) {
        sections.put(title, new Section(title, values));
    }

    private void pool(Pool pool) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("kind", pool.kind() == PoolKind.MODEL ? "model" : "service");
        if (!pool.models().isEmpty()) {
            values.put(
                    "models",
                    pool.models().stream().sorted().map(Object::toString).collect(Collectors.joining(", ")));
        }
        values.put("checks-tokens", String.valueOf(pool.checksTokens()));
        values.put("price-per-million-tokens", String.valueOf(pool.pricePerMillionTokens()));
        add("pool " + pool.id(), values);
    }

    private void adapter(Adapter adapter) {
        add("adapter " + adapter.id(), Map.of("model", adapter.model().toString()));
    }

    private void workspace(Workspace workspace) {
        Map<String, String> values = new LinkedHashMap<>();
        workspace.home().ifPresent(home -> values.put("home", home.toString()));
        values.put("requests-per-second", String.valueOf(workspace.requestsPerSecond()));
        values.put("weight", String.valueOf(workspace.weight()));
        values.put("priority", String.valueOf(workspace.priority()));
        add("workspace " + workspace.id(), values);
    }

    private void route(Route route) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("pool", route.pool().toString());
        values.put("method", route.method());
        values.put("path", route.pathPrefix());
        values.put("repeatable", String.valueOf(route.repeatable()));
        add("route " + route.name(), values);
    }

    private void link(Link link) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("megabits-per-second", String.valueOf(link.bytesPerSecond() / NoteBuilder.BYTES_PER_MEGABIT));
        values.put("round-trip-ms", String.valueOf(link.roundTripMs()));
        values.put("price-per-gigabyte", String.valueOf(link.pricePerGigabyte()));
        add("link " + link.a() + " " + link.b(), values);
    }

    private void spill(SpillRules spill) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("enabled", String.valueOf(spill.enabled()));
        values.put("max-share", String.valueOf(spill.maxShare()));
        values.put("start-above", String.valueOf(spill.startAbove()));
        values.put("stop-below", String.valueOf(spill.stopBelow()));
        values.put("remote-reserve", String.valueOf(spill.remoteReserve()));
        values.put("link-share", String.valueOf(spill.linkShare()));
        add("spill", values);
    }

    private void weights(Weights weights) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("cost", String.valueOf(weights.cost()));
        values.put("tail", String.valueOf(weights.tail()));
        values.put("sent-away", String.valueOf(weights.sentAway()));
        values.put("first-token-target-ms", String.valueOf(weights.firstTokenTargetMs()));
        values.put("hedging", String.valueOf(weights.hedging()));
        add("weights", values);
    }

    private void store(WeightStore store) {
        Map<String, String> values = new LinkedHashMap<>();
        store.region().ifPresent(region -> values.put("region", region.toString()));
        values.put("megabits-per-second", String.valueOf(store.bytesPerSecond() / NoteBuilder.BYTES_PER_MEGABIT));
        values.put("gigabytes-per-model", String.valueOf(store.bytesPerModel() / NoteBuilder.BYTES_PER_GIGABYTE));
        values.put("gigabytes-per-adapter", String.valueOf(store.bytesPerAdapter() / NoteBuilder.BYTES_PER_GIGABYTE));
        add("store", values);
    }
}
