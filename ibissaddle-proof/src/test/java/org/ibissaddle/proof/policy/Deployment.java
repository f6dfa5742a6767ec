package org.ibissaddle.proof.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.Workspace;

/** The two deployments: three regions with 3, 3 and 2 engines, and their own links and weights. */
@SuppressWarnings("ImmutableEnumChecker") // its records hold numbers only
enum Deployment {
    /** Weighs cost and the share sent away; 100 Mb/s between regions. */
    COOPERATIVE(12_500_000),
    /** Weighs tail latency; 1,400 Mb/s between regions. */
    STRATKA(175_000_000);

    static final List<Region> REGIONS = List.of(new Region("r0"), new Region("r1"), new Region("r2"));
    static final int[] ENGINES = {3, 3, 2};
    static final PoolId POOL = new PoolId("inspection");
    static final ModelId MODEL = ModelId.parse("m@1");
    static final int FREE = 20;
    static final int BOUND = 4;
    static final long ROUND_TRIP_MS = 55;
    /** Links are scaled down with the prompts, which are a tenth of a dossier. */
    static final int LINK_SCALE = 10;

    private static final double LINK_PRICE_PER_GIGABYTE = 0.05;
    private static final double PRICE_PER_MILLION_TOKENS = 1;

    private final long linkBytesPerSecond;

    Deployment(long linkBytesPerSecond) {
        this.linkBytesPerSecond = linkBytesPerSecond;
    }

    ObjectiveWeights weights() {
        return switch (this) {
            case COOPERATIVE -> new ObjectiveWeights(0.4, 0.2, 0.4, 660, false);
            case STRATKA -> new ObjectiveWeights(0.1, 0.8, 0.1, 660, false);
        };
    }

    private SpillRules spill() {
        return switch (this) {
            case COOPERATIVE -> new SpillRules(true, 0.3, 0.6, 0.3, 0.1, 0.3);
            case STRATKA -> new SpillRules(true, 0.5, 0.5, 0.3, 0.1, 0.5);
        };
    }

    double linkRate() {
        return (double) linkBytesPerSecond / LINK_SCALE;
    }

    double cost(double tokens, double linkBytes) {
        return tokens * PRICE_PER_MILLION_TOKENS / 1e6 + linkBytes * LINK_PRICE_PER_GIGABYTE / 1e9;
    }

    ReleaseNote note() {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        for (int i = 0; i < FREE; i++) {
            add(workspaces, "free" + i, Optional.empty(), i % 3);
        }
        for (Region region : REGIONS) {
            for (int i = 0; i < BOUND; i++) {
                add(workspaces, region + "-bound" + i, Optional.of(region), i % 3);
            }
        }
        Map<Zone, Region> zones = new HashMap<>();
        REGIONS.forEach(region -> zones.put(new Zone(region + "z"), region));
        List<Link> links = new ArrayList<>();
        for (int i = 0; i < REGIONS.size(); i++) {
            for (int j = i + 1; j < REGIONS.size(); j++) {
                long rate = linkBytesPerSecond / LINK_SCALE;
                links.add(new Link(REGIONS.get(i), REGIONS.get(j), rate, ROUND_TRIP_MS, LINK_PRICE_PER_GIGABYTE));
            }
        }
        Pool pool = new Pool(POOL, PoolKind.MODEL, Set.of(MODEL), true, PRICE_PER_MILLION_TOKENS);
        return new ReleaseNote(
                1,
                "d",
                REGIONS,
                new TreeMap<>(zones),
                new TreeMap<>(Map.of(POOL, pool)),
                workspaces,
                List.of(),
                links,
                spill(),
                weights());
    }

    private static void add(Map<WorkspaceId, Workspace> all, String name, Optional<Region> home, int priority) {
        WorkspaceId id = new WorkspaceId(name);
        all.put(id, new Workspace(id, home, 1_000, 1, priority));
    }
}
