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
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.Adapter;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.NoteFault;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Route;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.WeightStore;
import org.ibissaddle.note.Weights;
import org.ibissaddle.note.Workspace;

/** Builds a note from the sections of its whole state and collects every fault. */
public final class NoteBuilder {
    static final double BYTES_PER_MEGABIT = 125_000;
    static final double BYTES_PER_GIGABYTE = 1e9;
    private static final double MAX_NUMBER = 9e15;
    private static final int DEFAULT_PRIORITY = 5;
    private static final SpillRules NO_SPILL = new SpillRules(false, 0, 0.8, 0.6, 0.2, 0.5);
    private static final Weights EVEN_WEIGHTS = new Weights(1, 1, 1, 660, false);

    private final List<NoteFault> faults;
    private final Map<String, Section> sections;
    private final List<Region> regions = new ArrayList<>();
    private final SortedMap<Zone, Region> zones = new TreeMap<>();
    private final SortedMap<PoolId, Pool> pools = new TreeMap<>();
    private final SortedMap<AdapterId, Adapter> adapters = new TreeMap<>();
    private final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
    private final Map<ModelId, PoolId> models = new TreeMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private SpillRules spill = NO_SPILL;
    private Weights weights = EVEN_WEIGHTS;
    private WeightStore store = WeightStore.DEFAULT;
    private long number;

    private NoteBuilder(Map<String, Section> sections, List<NoteFault> faults) {
        this.sections = sections;
        this.faults = faults;
    }

    /**
     * Builds a note.
     *
     * @param sections sections of the whole state
     * @param faults takes the faults found
     * @return the note, empty when there is any fault
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
        for (List<Section> unknown : byKind.values()) {
            for (Section section : unknown) {
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
        return faults.isEmpty() ? Optional.of(note()) : Optional.empty();
    }

    private ReleaseNote note() {
        ReleaseNote bare = noteWith("");
        return noteWith(NoteWriter.digest(bare));
    }

    private ReleaseNote noteWith(String digest) {
        return new ReleaseNote(
                number, digest, regions, zones, pools, workspaces, routes, links, spill, weights, adapters, store);
    }

    private void readAll(Map<String, List<Section>> byKind, String kind, SectionReader reader) {
        List<Section> found = byKind.remove(kind);
        if (found == null) {
            return;
        }
        boolean unnamed = Set.of("note", "spill", "weights", "store").contains(kind);
        for (Section section : found) {
            if (unnamed != section.name().isEmpty()) {
                faults.add(new NoteFault.UnknownSection(section.title()));
                continue;
            }
            Fields fields = new Fields(section, faults);
            reader.read(section.name(), fields);
            fields.rejectUnknownKeys();
        }
    }

    private <T> Optional<T> id(Fields fields, String name, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(name));
        } catch (InvalidNameException e) {
            fields.invalid("name", name, "a valid name");
            return Optional.empty();
        }
    }

    private void readNote(String name, Fields fields) {
        String text = fields.required("number");
        try {
            number = text.isEmpty() ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            fields.invalid("number", text, "a whole number");
            return;
        }
        if (!text.isEmpty() && number <= 0) {
            fields.invalid("number", text, "greater than 0");
        }
        Optional<Long> base = Delta.base(sections);
        fields.text("base");
        if (base.isPresent() && base.get() >= number) {
            fields.contradiction("base " + base.get() + " is not lower than number " + number);
        }
    }

    private void readRegion(String name, Fields fields) {
        id(fields, name, Region::new).ifPresent(regions::add);
    }

    private void readZone(String name, Fields fields) {
        Optional<Zone> zone = id(fields, name, Zone::new);
        Optional<Region> region = declaredRegion(fields, fields.requiredName("region", Region::new), "region");
        if (zone.isPresent() && region.isPresent()) {
            zones.put(zone.get(), region.get());
        }
    }

    private Optional<Region> declaredRegion(Fields fields, Optional<Region> region, String key) {
        if (region.isPresent() && !regions.contains(region.get())) {
            fields.undeclared(key, region.get());
        }
        return region;
    }

    private void readPool(String name, Fields fields) {
        Optional<PoolId> id = id(fields, name, PoolId::new);
        String kind = fields.required("kind");
        if (!kind.isEmpty() && !kind.equals("model") && !kind.equals("service")) {
            fields.invalid("kind", kind, "model or service");
        }
        Set<ModelId> served = fields.names("models", ModelId::parse);
        boolean checks = fields.flag("checks-tokens", false);
        double price = fields.number("price-per-million-tokens", 0, MAX_NUMBER, 0);
        if (kind.equals("service") && !served.isEmpty()) {
            fields.contradiction("a pool of a plain service holds no models");
        }
        if (id.isEmpty()) {
            return;
        }
        for (ModelId model : served) {
            PoolId other = models.putIfAbsent(model, id.get());
            if (other != null) {
                fields.contradiction("model " + model + " is served by pool " + other + " already");
            }
        }
        PoolKind poolKind = kind.equals("service") ? PoolKind.SERVICE : PoolKind.MODEL;
        pools.put(id.get(), new Pool(id.get(), poolKind, served, checks, price));
    }

    private void readAdapter(String name, Fields fields) {
        Optional<AdapterId> id = id(fields, name, AdapterId::new);
        Optional<ModelId> model = fields.requiredName("model", ModelId::parse);
        if (model.isPresent() && !models.containsKey(model.get())) {
            fields.undeclared("model", model.get());
        }
        if (id.isPresent() && model.isPresent()) {
            adapters.put(id.get(), new Adapter(id.get(), model.get()));
        }
    }

    private void readWorkspace(String name, Fields fields) {
        Optional<WorkspaceId> id = id(fields, name, WorkspaceId::new);
        Optional<Region> home = declaredRegion(fields, fields.named("home", Region::new), "home");
        double rate = fields.requiredNumber("requests-per-second", 0, MAX_NUMBER);
        double weight = fields.number("weight", 0, MAX_NUMBER, 1);
        double priority = fields.number("priority", 0, Workspace.MAX_PRIORITY, DEFAULT_PRIORITY);
        if (priority != Math.rint(priority)) {
            fields.invalid("priority", String.valueOf(priority), "a whole number");
        }
        id.ifPresent(
                workspace -> workspaces.put(workspace, new Workspace(workspace, home, rate, weight, (int) priority)));
    }

    private void readRoute(String name, Fields fields) {
        Optional<PoolId> pool = fields.requiredName("pool", PoolId::new);
        String method = fields.required("method");
        String path = fields.required("path");
        boolean repeatable = fields.flag("repeatable", false);
        if (!method.equals(method.toUpperCase(Locale.ROOT))) {
            fields.invalid("method", method, "upper case");
        }
        if (!path.isEmpty() && !path.startsWith("/")) {
            fields.invalid("path", path, "a path that starts with /");
        }
        if (pool.isPresent() && !pools.containsKey(pool.get())) {
            fields.undeclared("pool", pool.get());
            return;
        }
        if (pool.isPresent() && pools.get(pool.get()).kind() != PoolKind.SERVICE) {
            fields.contradiction("pool " + pool.get() + " is not one of a plain service");
        }
        pool.ifPresent(id -> routes.add(new Route(name, id, method, path, repeatable)));
    }

    private void readLink(String name, Fields fields) {
        String[] ends = name.split(" ", -1);
        if (ends.length != 2) {
            fields.invalid("name", name, "the names of two regions");
            return;
        }
        Optional<Region> a = declaredRegion(fields, id(fields, ends[0], Region::new), "name");
        Optional<Region> b = declaredRegion(fields, id(fields, ends[1], Region::new), "name");
        double megabits = fields.requiredNumber("megabits-per-second", 0, MAX_NUMBER);
        double roundTrip = fields.requiredNumber("round-trip-ms", 0, MAX_NUMBER);
        double price = fields.number("price-per-gigabyte", 0, MAX_NUMBER, 0);
        if (a.isEmpty() || b.isEmpty()) {
            return;
        }
        if (a.equals(b) || links.stream().anyMatch(link -> link.joins(a.get(), b.get()))) {
            fields.contradiction("the link joins a region with itself or is declared twice");
        }
        long bytes = Math.round(megabits * BYTES_PER_MEGABIT);
        boolean ordered = a.get().compareTo(b.get()) < 0;
        Region first = ordered ? a.get() : b.get();
        Region second = ordered ? b.get() : a.get();
        links.add(new Link(first, second, bytes, Math.round(roundTrip), price));
    }

    private void readSpill(String name, Fields fields) {
        spill = new SpillRules(
                fields.flag("enabled", NO_SPILL.enabled()),
                fields.number("max-share", 0, 1, NO_SPILL.maxShare()),
                fields.number("start-above", 0, MAX_NUMBER, NO_SPILL.startAbove()),
                fields.number("stop-below", 0, MAX_NUMBER, NO_SPILL.stopBelow()),
                fields.number("remote-reserve", 0, 1, NO_SPILL.remoteReserve()),
                fields.number("link-share", 0, 1, NO_SPILL.linkShare()));
        if (spill.stopBelow() > spill.startAbove()) {
            fields.contradiction("stop-below exceeds start-above");
        }
    }

    private void readWeights(String name, Fields fields) {
        weights = new Weights(
                fields.number("cost", 0, MAX_NUMBER, EVEN_WEIGHTS.cost()),
                fields.number("tail", 0, MAX_NUMBER, EVEN_WEIGHTS.tail()),
                fields.number("sent-away", 0, MAX_NUMBER, EVEN_WEIGHTS.sentAway()),
                Math.round(fields.number(
                        "first-token-target-ms", 1, MAX_NUMBER, (double) EVEN_WEIGHTS.firstTokenTargetMs())),
                fields.flag("hedging", EVEN_WEIGHTS.hedging()));
    }

    private void readStore(String name, Fields fields) {
        WeightStore or = WeightStore.DEFAULT;
        Optional<Region> region = declaredRegion(fields, fields.named("region", Region::new), "region");
        double megabits = fields.number("megabits-per-second", 1, MAX_NUMBER, or.bytesPerSecond() / BYTES_PER_MEGABIT);
        double model = fields.number("gigabytes-per-model", 0, MAX_NUMBER, or.bytesPerModel() / BYTES_PER_GIGABYTE);
        double adapter =
                fields.number("gigabytes-per-adapter", 0, MAX_NUMBER, or.bytesPerAdapter() / BYTES_PER_GIGABYTE);
        store = new WeightStore(
                region,
                Math.round(megabits * BYTES_PER_MEGABIT),
                Math.round(model * BYTES_PER_GIGABYTE),
                Math.round(adapter * BYTES_PER_GIGABYTE));
    }

    @FunctionalInterface
    private interface SectionReader {
        void read(String name, Fields fields);
    }
}
