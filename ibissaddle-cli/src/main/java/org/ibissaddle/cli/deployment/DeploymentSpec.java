package org.ibissaddle.cli.deployment;

import java.util.List;

/**
 * Specification of a deployment.
 *
 * @param name name of the deployment and of the folder with its example files
 * @param modelPool pool of the engines
 * @param model model version loaded by the engines
 * @param servicePool pool of the plain services
 * @param instances names and locations of the entry instances
 * @param engines names and locations of the engines
 * @param services names and locations of the plain services
 */
public record DeploymentSpec(
        String name,
        String modelPool,
        String model,
        String servicePool,
        List<NodeSpec> instances,
        List<NodeSpec> engines,
        List<NodeSpec> services) {
    /** Creates a specification with unmodifiable copies of the lists. */
    public DeploymentSpec {
        instances = List.copyOf(instances);
        engines = List.copyOf(engines);
        services = List.copyOf(services);
    }

    /**
     * Name and location of a process.
     *
     * @param name name of the process
     * @param region region
     * @param zone availability zone
     */
    public record NodeSpec(String name, String region, String zone) {}

    /**
     * Returns the deployment of the cooperative: 4 instances, 8 engines and 3 ledger servers in 3 regions.
     *
     * @return the specification
     */
    public static DeploymentSpec cooperative() {
        NodeSpec ub1 = new NodeSpec("ub-1", "Ulaanbaatar", "ub-1");
        NodeSpec ub2 = new NodeSpec("ub-2", "Ulaanbaatar", "ub-2");
        NodeSpec da1 = new NodeSpec("da-1", "Darkhan", "da-1");
        NodeSpec sa1 = new NodeSpec("sa-1", "Sainshand", "sa-1");
        return new DeploymentSpec(
                "cooperative",
                "inspection",
                "inspector@1",
                "ledger",
                withNames("", List.of(ub1, ub2, da1, sa1)),
                withNames("engine-", List.of(ub1, ub1, ub2, ub2, da1, da1, sa1, sa1)),
                withNames("ledger-", List.of(ub1, da1, sa1)));
    }

    /**
     * Returns the deployment of Stratka: 4 instances, 8 engines and 3 desk servers in 3 regions.
     *
     * @return the specification
     */
    public static DeploymentSpec stratka() {
        NodeSpec ke1 = new NodeSpec("ke-1", "Kosice", "ke-1");
        NodeSpec ke2 = new NodeSpec("ke-2", "Kosice", "ke-2");
        NodeSpec ba1 = new NodeSpec("ba-1", "Bratislava", "ba-1");
        NodeSpec za1 = new NodeSpec("za-1", "Zilina", "za-1");
        return new DeploymentSpec(
                "stratka",
                "search",
                "finder@1",
                "desk",
                withNames("", List.of(ke1, ke2, ba1, za1)),
                withNames("engine-", List.of(ke1, ke1, ke2, ke2, ba1, ba1, za1, za1)),
                withNames("desk-", List.of(ke1, ba1, za1)));
    }

    private static List<NodeSpec> withNames(String prefix, List<NodeSpec> locations) {
        char[] suffix = new char[] {'a'};
        String[] previousZone = new String[] {""};
        return locations.stream()
                .map(location -> {
                    suffix[0] = location.zone().equals(previousZone[0]) ? (char) (suffix[0] + 1) : 'a';
                    previousZone[0] = location.zone();
                    return new NodeSpec(prefix + location.zone() + "-" + suffix[0], location.region(), location.zone());
                })
                .toList();
    }
}
