package org.ibissaddle.cli.deployment;

import java.util.List;

/**
 * What a deployment consists of.
 *
 * @param name name of the folder of its examples
 * @param modelPool pool of its engines
 * @param model model version that they hold
 * @param servicePool pool of its plain services
 * @param instances entry instances
 * @param engines zone of each engine
 * @param services zone of each plain service
 */
public record DeploymentSpec(
        String name,
        String modelPool,
        String model,
        String servicePool,
        List<Place> instances,
        List<Place> engines,
        List<Place> services) {
    /** Copies the lists. */
    public DeploymentSpec {
        instances = List.copyOf(instances);
        engines = List.copyOf(engines);
        services = List.copyOf(services);
    }

    /**
     * Where a process runs.
     *
     * @param name its name
     * @param region its region
     * @param zone its availability zone
     */
    public record Place(String name, String region, String zone) {}

    /**
     * The cooperative's deployment: 4 instances, 8 engines and 3 ledger servers in 3 regions.
     *
     * @return the deployment
     */
    public static DeploymentSpec cooperative() {
        Place ub1 = new Place("ub-1", "Ulaanbaatar", "ub-1");
        Place ub2 = new Place("ub-2", "Ulaanbaatar", "ub-2");
        Place da1 = new Place("da-1", "Darkhan", "da-1");
        Place sa1 = new Place("sa-1", "Sainshand", "sa-1");
        return new DeploymentSpec(
                "cooperative",
                "inspection",
                "inspector@1",
                "ledger",
                named("", List.of(ub1, ub2, da1, sa1)),
                named("engine-", List.of(ub1, ub1, ub2, ub2, da1, da1, sa1, sa1)),
                named("ledger-", List.of(ub1, da1, sa1)));
    }

    /**
     * Stratka's deployment: 4 instances, 8 engines and 3 desk servers in 3 regions.
     *
     * @return the deployment
     */
    public static DeploymentSpec stratka() {
        Place ke1 = new Place("ke-1", "Kosice", "ke-1");
        Place ke2 = new Place("ke-2", "Kosice", "ke-2");
        Place ba1 = new Place("ba-1", "Bratislava", "ba-1");
        Place za1 = new Place("za-1", "Zilina", "za-1");
        return new DeploymentSpec(
                "stratka",
                "search",
                "finder@1",
                "desk",
                named("", List.of(ke1, ke2, ba1, za1)),
                named("engine-", List.of(ke1, ke1, ke2, ke2, ba1, ba1, za1, za1)),
                named("desk-", List.of(ke1, ba1, za1)));
    }

    private static List<Place> named(String prefix, List<Place> zones) {
        char[] next = new char[] {'a'};
        String[] last = new String[] {""};
        return zones.stream()
                .map(zone -> {
                    next[0] = zone.zone().equals(last[0]) ? (char) (next[0] + 1) : 'a';
                    last[0] = zone.zone();
                    return new Place(prefix + zone.zone() + "-" + next[0], zone.region(), zone.zone());
                })
                .toList();
    }
}
