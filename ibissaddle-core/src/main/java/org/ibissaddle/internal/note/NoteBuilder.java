package org.ibissaddle.internal.note;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.Adapter;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.NoteFault;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.PoolRoute;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.WeightStore;
import org.ibissaddle.note.Workspace;

/** Builds a note from the sections of its complete state and collects all validation errors. */
public final class NoteBuilder {
    static final double BYTES_PER_MEGABIT = 125_000;
    static final double BYTES_PER_GIGABYTE = 1e9;
    private static final double MAX_VALUE = 9e15;
    private static final int DEFAULT_PRIORITY = 5;
    private static final SpillRules DEFAULT_SPILL = new SpillRules(false, 0, 0.8, 0.6, 0.2, 0.5);
    private static final ObjectiveWeights DEFAULT_WEIGHTS = new ObjectiveWeights(1, 1, 1, 660, false);

    private final List<NoteFault> faults;
    private final Map<String, Section> sections;
    private final List<Region> regions = new ArrayList<>();
    private final SortedMap<Zone, Region> zones = new TreeMap<>();
    private final SortedMap<PoolId, Pool> pools = new TreeMap<>();
    private final SortedMap<AdapterId, Adapter> adapters = new TreeMap<>();
    private final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
    private final Map<ModelId, PoolId> models = new TreeMap<>();
    private final List<PoolRoute> routes = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private SpillRules spill = DEFAULT_SPILL;
    private ObjectiveWeights weights = DEFAULT_WEIGHTS;
    private WeightStore store = WeightStore.DEFAULT;
    private long number;

    private NoteBuilder(Map<String, Section> sections, List<NoteFault> faults) {
        this.sections = sections;
        this.faults = faults;
    }

    /**
     * Builds a note.
     *
     * @param sections sections of the complete state
     * @param faults list that validation errors are added to
     * @return the note, or empty if there are any errors
     */
    public static Optional<ReleaseNote> build(Map<String, Section> sections, List<NoteFault> faults) {
        if (!faults.isEmpty() && sections.isEmpty()) {
            return Optional.empty();
        }
        return new NoteBuilder(sections, faults).build();
    }

    private Optional<ReleaseNote> build() {
        if (!sections.containsKey("note")) {
            faults.add(new NoteFault.MissingSection("note"));
        }
        Map<String, List<Section>> byKind = new LinkedHashMap<>();
        for (Section section : sections.values()) {
            byKind.computeIfAbsent(section.kind(), kind -> new ArrayList<>()).add(section);
        }
        readAll(byKind, "note", this::readNote);
        readAll(byKind, "region", this::readRegion);
        readAll(byKind, "zone", this::readZone);
        readAll(byKind, "pool", this::readPool);
        readAll(byKind, "adapter", this::readAdapter);
        readAll(byKind, "workspace", this::readWorkspace);
        readAll(byKind, "route", this::readRoute);
        readAll(byKind, "link", this::readLink);
        readAll(byKind, "spill", this::readSpill);
        readAll(byKind, "weights", this::readWeights);
        readAll(byKind, "store", this::readStore);
        for (List<Section> remaining : byKind.values()) {
            for (Section section : remaining) {
                if (!Set.of(Delta.ADD, Delta.CHANGE, Delta.WITHDRAW).contains(section.kind())) {
                    faults.add(new NoteFault.UnknownSection(section.title()));
                }
            }
        }
        if (regions.isEmpty()) {
            faults.add(new NoteFault.MissingSection("region"));
        }
        regions.sort(Comparator.naturalOrder());
        links.sort(Comparator.comparing(Link::a).thenComparing(Link::b));
        return faults.isEmpty() ? Optional.of(createNote()) : Optional.empty();
    }

    private ReleaseNote createNote() {
        ReleaseNote withoutDigest = createNote("");
        return createNote(NoteWriter.digest(withoutDigest));
    }

    private ReleaseNote createNote(String digest) {
        return new ReleaseNote(
                number, digest, regions, zones, pools, workspaces, routes, links, spill, weights, adapters, store);
    }

    private void readAll(Map<String, List<Section>> byKind, String kind, SectionParser parser) {
        List<Section> sectionsOfKind = byKind.remove(kind);
        if (sectionsOfKind == null) {
            return;
        }
        boolean unnamed = Set.of("note", "spill", "weights", "store").contains(kind);
        for (Section section : sectionsOfKind) {
            if (unnamed != section.name().isEmpty()) {
                faults.add(new NoteFault.UnknownSection(section.title()));
                continue;
            }
            FieldReader fields = new FieldReader(section, faults);
            parser.parse(section.name(), fields);
            fields.reportUnknownKeys();
        }
    }

    private <T> Optional<T> parseName(FieldReader fields, String name, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(name));
        } catch (InvalidIdentifierException e) {
            fields.reportInvalidValue("name", name, "a valid name");
            return Optional.empty();
        }
    }

    private void readNote(String name, FieldReader fields) {
        String text = fields.requiredText("number");
        try {
            number = text.isEmpty() ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            fields.reportInvalidValue("number", text, "a whole number");
            return;
        }
        if (!text.isEmpty() && number <= 0) {
            fields.reportInvalidValue("number", text, "greater than 0");
        }
        Optional<Long> base = Delta.parseBaseNumber(sections);
        fields.optionalText("base");
        if (base.isPresent() && base.get() >= number) {
            fields.reportContradiction("base " + base.get() + " is not lower than number " + number);
        }
    }

    private void readRegion(String name, FieldReader fields) {
        parseName(fields, name, Region::new).ifPresent(regions::add);
    }

    private void readZone(String name, FieldReader fields) {
        Optional<Zone> zone = parseName(fields, name, Zone::new);
        Optional<Region> region = declaredRegion(fields, fields.requiredName("region", Region::new), "region");
        if (zone.isPresent() && region.isPresent()) {
            zones.put(zone.get(), region.get());
        }
    }

    private Optional<Region> declaredRegion(FieldReader fields, Optional<Region> region, String key) {
        if (region.isPresent() && !regions.contains(region.get())) {
            fields.reportUndeclaredName(key, region.get());
        }
        return region;
    }

    private void readPool(String name, FieldReader fields) {
        Optional<PoolId> id = parseName(fields, name, PoolId::new);
        String kind = fields.requiredText("kind");
        if (!kind.isEmpty() && !kind.equals("model") && !kind.equals("service")) {
            fields.reportInvalidValue("kind", kind, "model or service");
        }
        Set<ModelId> served = fields.nameSet("models", ModelId::parse);
        boolean checksTokens = fields.optionalBoolean("checks-tokens", false);
        double price = fields.optionalNumber("price-per-million-tokens", 0, MAX_VALUE, 0);
        if (kind.equals("service") && !served.isEmpty()) {
            fields.reportContradiction("a pool of kind service must not have models");
        }
        if (id.isEmpty()) {
            return;
        }
        for (ModelId model : served) {
            PoolId other = models.putIfAbsent(model, id.get());
            if (other != null) {
                fields.reportContradiction("model " + model + " is served by pool " + other + " already");
            }
        }
        PoolKind poolKind = kind.equals("service") ? PoolKind.SERVICE : PoolKind.MODEL;
        pools.put(id.get(), new Pool(id.get(), poolKind, served, checksTokens, price));
    }

    private void readAdapter(String name, FieldReader fields) {
        Optional<AdapterId> id = parseName(fields, name, AdapterId::new);
        Optional<ModelId> model = fields.requiredName("model", ModelId::parse);
        if (model.isPresent() && !models.containsKey(model.get())) {
            fields.reportUndeclaredName("model", model.get());
        }
        if (id.isPresent() && model.isPresent()) {
            adapters.put(id.get(), new Adapter(id.get(), model.get()));
        }
    }

    private void readWorkspace(String name, FieldReader fields) {
        Optional<WorkspaceId> id = parseName(fields, name, WorkspaceId::new);
        Optional<Region> home = declaredRegion(fields, fields.optionalName("home", Region::new), "home");
        double rate = fields.requiredNumber("requests-per-second", 0, MAX_VALUE);
        double weight = fields.optionalNumber("weight", 0, MAX_VALUE, 1);
        double priority = fields.optionalNumber("priority", 0, Workspace.MAX_PRIORITY, DEFAULT_PRIORITY);
        if (priority != Math.rint(priority)) {
            fields.reportInvalidValue("priority", String.valueOf(priority), "a whole number");
        }
        id.ifPresent(
                workspace -> workspaces.put(workspace, new Workspace(workspace, home, rate, weight, (int) priority)));
    }

    private void readRoute(String name, FieldReader fields) {
        Optional<PoolId> pool = fields.requiredName("pool", PoolId::new);
        String method = fields.requiredText("method");
        String path = fields.requiredText("path");
        boolean repeatable = fields.optionalBoolean("repeatable", false);
        if (!method.equals(method.toUpperCase(Locale.ROOT))) {
            fields.reportInvalidValue("method", method, "upper case");
        }
        if (!path.isEmpty() && !path.startsWith("/")) {
            fields.reportInvalidValue("path", path, "a path that starts with /");
        }
        if (pool.isPresent() && !pools.containsKey(pool.get())) {
            fields.reportUndeclaredName("pool", pool.get());
            return;
        }
        if (pool.isPresent() && pools.get(pool.get()).kind() != PoolKind.SERVICE) {
            fields.reportContradiction("pool " + pool.get() + " is not of kind service");
        }
        pool.ifPresent(id -> routes.add(new PoolRoute(name, id, method, path, repeatable)));
    }

    private void readLink(String name, FieldReader fields) {
        String[] regionNames = name.split(" ", -1);
        if (regionNames.length != 2) {
            fields.reportInvalidValue("name", name, "the names of two regions");
            return;
        }
        Optional<Region> a = declaredRegion(fields, parseName(fields, regionNames[0], Region::new), "name");
        Optional<Region> b = declaredRegion(fields, parseName(fields, regionNames[1], Region::new), "name");
        double megabits = fields.requiredNumber("megabits-per-second", 0, MAX_VALUE);
        double roundTrip = fields.requiredNumber("round-trip-ms", 0, MAX_VALUE);
        double price = fields.optionalNumber("price-per-gigabyte", 0, MAX_VALUE, 0);
        if (a.isEmpty() || b.isEmpty()) {
            return;
        }
        if (a.equals(b) || links.stream().anyMatch(link -> link.connects(a.get(), b.get()))) {
            fields.reportContradiction("the link connects a region to itself or is declared twice");
        }
        long bytes = Math.round(megabits * BYTES_PER_MEGABIT);
        boolean ordered = a.get().compareTo(b.get()) < 0;
        Region first = ordered ? a.get() : b.get();
        Region second = ordered ? b.get() : a.get();
        links.add(new Link(first, second, bytes, Math.round(roundTrip), price));
    }

    private void readSpill(String name, FieldReader fields) {
        spill = new SpillRules(
                fields.optionalBoolean("enabled", DEFAULT_SPILL.enabled()),
                fields.optionalNumber("max-share", 0, 1, DEFAULT_SPILL.maxShare()),
                fields.optionalNumber("start-above", 0, MAX_VALUE, DEFAULT_SPILL.startAbove()),
                fields.optionalNumber("stop-below", 0, MAX_VALUE, DEFAULT_SPILL.stopBelow()),
                fields.optionalNumber("remote-reserve", 0, 1, DEFAULT_SPILL.remoteReserve()),
                fields.optionalNumber("link-share", 0, 1, DEFAULT_SPILL.linkShare()));
        if (spill.stopBelow() > spill.startAbove()) {
            fields.reportContradiction("stop-below exceeds start-above");
        }
    }

    private void readWeights(String name, FieldReader fields) {
        weights = new ObjectiveWeights(
                fields.optionalNumber("cost", 0, MAX_VALUE, DEFAULT_WEIGHTS.cost()),
                fields.optionalNumber("tail", 0, MAX_VALUE, DEFAULT_WEIGHTS.tail()),
                fields.optionalNumber("sent-away", 0, MAX_VALUE, DEFAULT_WEIGHTS.sentAway()),
                Math.round(fields.optionalNumber(
                        "first-token-target-ms", 1, MAX_VALUE, (double) DEFAULT_WEIGHTS.firstTokenTargetMs())),
                fields.optionalBoolean("hedging", DEFAULT_WEIGHTS.hedging()));
    }

    private void readStore(String name, FieldReader fields) {
        WeightStore defaults = WeightStore.DEFAULT;
        Optional<Region> region = declaredRegion(fields, fields.optionalName("region", Region::new), "region");
        double megabits = fields.optionalNumber(
                "megabits-per-second", 1, MAX_VALUE, defaults.bytesPerSecond() / BYTES_PER_MEGABIT);
        double model = fields.optionalNumber(
                "gigabytes-per-model", 0, MAX_VALUE, defaults.bytesPerModel() / BYTES_PER_GIGABYTE);
        double adapter = fields.optionalNumber(
                "gigabytes-per-adapter", 0, MAX_VALUE, defaults.bytesPerAdapter() / BYTES_PER_GIGABYTE);
        store = new WeightStore(
                region,
                Math.round(megabits * BYTES_PER_MEGABIT),
                Math.round(model * BYTES_PER_GIGABYTE),
                Math.round(adapter * BYTES_PER_GIGABYTE));
    }

    @FunctionalInterface
    private interface SectionParser {
        void parse(String name, FieldReader fields);
    }
}
