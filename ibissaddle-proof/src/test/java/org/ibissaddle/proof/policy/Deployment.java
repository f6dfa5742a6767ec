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

/** The two simulated deployments. Each has three regions with 3, 3 and 2 engines, and its own links and weights. */
@SuppressWarnings("ImmutableEnumChecker") // the only field is a primitive long
enum Deployment {
    /** The weights favor low cost and few requests served in another region. Links have 100 Mb/s. */
    COOPERATIVE(12_500_000),
    /** The weights favor low tail latency. Links have 1,400 Mb/s. */
    STRATKA(175_000_000);

    static final List<Region> REGIONS = List.of(new Region("r0"), new Region("r1"), new Region("r2"));
    static final int[] ENGINES_PER_REGION = {3, 3, 2};
    static final PoolId POOL = new PoolId("inspection");
    static final ModelId MODEL = ModelId.parse("m@1");
    static final int WORKSPACES_WITHOUT_HOME = 20;
    static final int HOME_WORKSPACES_PER_REGION = 4;
    static final long LINK_ROUND_TRIP_MS = 55;
    /** Link rates are divided by this, since the simulated prompts have a tenth of the size of a real dossier. */
    static final int LINK_RATE_DIVISOR = 10;

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

    private SpillRules spillRules() {
        return switch (this) {
            case COOPERATIVE -> new SpillRules(true, 0.3, 0.6, 0.3, 0.1, 0.3);
            case STRATKA -> new SpillRules(true, 0.5, 0.5, 0.3, 0.1, 0.5);
        };
    }

    double scaledLinkBytesPerSecond() {
        return (double) linkBytesPerSecond / LINK_RATE_DIVISOR;
    }

    double cost(double tokens, double linkBytes) {
        return tokens * PRICE_PER_MILLION_TOKENS / 1e6 + linkBytes * LINK_PRICE_PER_GIGABYTE / 1e9;
    }

    ReleaseNote note() {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        for (int i = 0; i < WORKSPACES_WITHOUT_HOME; i++) {
            addWorkspace(workspaces, "free" + i, Optional.empty(), i % 3);
        }
        for (Region region : REGIONS) {
            for (int i = 0; i < HOME_WORKSPACES_PER_REGION; i++) {
                addWorkspace(workspaces, region + "-bound" + i, Optional.of(region), i % 3);
            }
        }
        Map<Zone, Region> zones = new HashMap<>();
        REGIONS.forEach(region -> zones.put(new Zone(region + "z"), region));
        List<Link> links = new ArrayList<>();
        for (int i = 0; i < REGIONS.size(); i++) {
            for (int j = i + 1; j < REGIONS.size(); j++) {
                long rate = linkBytesPerSecond / LINK_RATE_DIVISOR;
                links.add(new Link(REGIONS.get(i), REGIONS.get(j), rate, LINK_ROUND_TRIP_MS, LINK_PRICE_PER_GIGABYTE));
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
                spillRules(),
                weights());
    }

    private static void addWorkspace(
            Map<WorkspaceId, Workspace> workspaces, String name, Optional<Region> home, int priority) {
        WorkspaceId id = new WorkspaceId(name);
        workspaces.put(id, new Workspace(id, home, 1_000, 1, priority));
    }
}
