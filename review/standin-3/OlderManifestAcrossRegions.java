import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three regions with one gateway each. The gateway of one region is cut off from the store while manifests change. All
 * requests are sent to the gateway of another region, which is in touch.
 */
final class OlderManifestAcrossRegions {
    private static final long ROLLBACK_SLACK_MS = 250;
    private static final long CUT_MS = 5_500;
    private static final long PAUSE_MS = 10_000;
    private static final int SPELLS = 3;

    private record Sent(String id, String route, long atMs) {}

    private record Run(String service, String server, long atMs) {}

    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final Map<String, Run> RUNS = new ConcurrentHashMap<>();
    private static final ConcurrentLinkedQueue<Sent> SENT = new ConcurrentLinkedQueue<>();
    private static final ConcurrentLinkedQueue<String> NOTES = new ConcurrentLinkedQueue<>();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static volatile boolean sending = true;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case");
        int code = 2;
        try {
            code = run(trouble, Path.of(args[0]), folder);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            Gateway.endAll();
        }
        System.exit(code);
    }

    private static int run(boolean trouble, Path record, Path folder) throws Exception {
        List<String> hosts = List.of("127.0.1.1", "127.0.2.1", "127.0.3.1");
        int base = Ports.freeBase(List.of("127.0.1.1", "127.0.2.1", "127.0.3.1", "127.0.4.1"), 12);
        Store store = new Store();
        store.new Door(hosts.get(0), base);
        // The store stands in the north; the gateway in the south reaches it over a link of its own.
        Link southToStore = new Link("127.0.4.1", base, hosts.get(0), Map.of(), Map.of());
        int version = 7;
        store.put("op/config", configuration(version));
        Server.OnRun onRun = (server, request, atMs) ->
                RUNS.put(request.header("X-Attempt-Id"), new Run(server.service, server.id, atMs));
        // "near" is served in the region of the callers, "far" only in the region that the store turns away.
        new Server("i-n0", "near-0", "north-a", "127.0.1.1", base + 6, 64, 5, onRun).register(store);
        new Server("i-n1", "near-1", "north-a", "127.0.1.1", base + 7, 64, 5, onRun).register(store);
        new Server("i-f0", "far-0", "south-a", "127.0.2.1", base + 8, 64, 5, onRun).register(store);
        new Server("i-f1", "far-1", "south-a", "127.0.2.1", base + 9, 64, 5, onRun).register(store);
        String zones = "north-a:north,south-a:south,west-a:west";
        String seeds = hosts.get(0) + ":" + (base + 4) + "," + hosts.get(1) + ":" + (base + 4) + "," + hosts.get(2)
                + ":" + (base + 4);
        List<String> regions = List.of("north", "south", "west");
        List<Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String region = regions.get(i);
            String host = hosts.get(i);
            gateways.add(new Gateway(folder, "front-" + region + "-1", host, base, Gateway.settings(
                    "front-" + region + "-1", region, region + "-a", zones, host, base,
                    (region.equals("south") ? "127.0.4.1:" : "127.0.1.1:") + base, seeds, "")));
        }
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady(10_000);
        }
        Thread.sleep(5_000);
        long startMs = System.currentTimeMillis();
        for (String route : List.of("near", "far")) {
            Thread.ofVirtual().start(() -> send(gateways.get(0), route));
        }
        Thread.sleep(2_000);
        List<Long> changedAt = new ArrayList<>();
        for (int spell = 0; spell < SPELLS; spell++) {
            if (trouble) {
                southToStore.silence();
            }
            long spellMs = System.currentTimeMillis();
            NOTES.add((spellMs - startMs) + " ms: " + (trouble ? "front-south-1 is cut off from the store" : "no cut") + " for "
                    + CUT_MS + " ms");
            Thread.sleep(300);
            version++;
            long atMs = System.currentTimeMillis();
            store.put("op/config", configuration(version));
            changedAt.add(atMs);
            NOTES.add((atMs - startMs) + " ms: manifest " + version + " acknowledged");
            Thread.sleep(Math.max(0, spellMs + CUT_MS - System.currentTimeMillis()));
            if (trouble) {
                southToStore.restore();
            }
            Thread.sleep(PAUSE_MS);
        }
        sending = false;
        Thread.sleep(1_500);
        return judge(trouble, record, startMs, changedAt);
    }

    /** In each version both routes go to the service with the same parity as the version. */
    private static String configuration(int version) {
        int parity = version % 2;
        StringBuilder services = new StringBuilder();
        for (String name : List.of("near-0", "near-1", "far-0", "far-1")) {
            services.append(services.isEmpty() ? "" : ",").append("{\"name\":\"").append(name)
                    .append("\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,"
                            + "\"coldS\":0.0,\"coldPerS\":0.0}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + route("near", parity) + "," + route("far", parity)
                + "],\"services\":[" + services + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private static String route(String name, int parity) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"shop.example\",\"pathPrefix\":\"/" + name
                + "/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,"
                + "\"service\":\"" + name + "-" + parity
                + "\",\"maxAttempts\":1,\"sticky\":false,\"resumable\":false,\"homeRegions\":[]}";
    }

    private static void send(Gateway gateway, String route) {
        Http.Connection connection = null;
        while (sending) {
            String id = route + "-" + NEXT.incrementAndGet();
            SENT.add(new Sent(id, route, System.currentTimeMillis()));
            try {
                if (connection == null) {
                    connection = new Http.Connection(gateway.host, gateway.basePort + 1, 1_000);
                }
                Http.Message answer = connection.call(
                        "POST /" + route + "/order HTTP/1.1",
                        List.of("Host: shop.example", "X-Attempt-Id: " + id, "X-Deadline-Ms: 3000"),
                        "order".getBytes(),
                        3_500);
                ANSWERS.put(id, answer.status());
            } catch (IOException e) {
                ANSWERS.put(id, 0);
                connection = null;
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static int judge(boolean trouble, Path record, long startMs, List<Long> changedAt) throws IOException {
        List<Sent> sent = new ArrayList<>(SENT);
        sent.sort(Comparator.comparingLong(Sent::atMs));
        int older = 0;
        int changesBroken = 0;
        long latest = 0;
        for (int i = 0; i < changedAt.size(); i++) {
            long fromMs = changedAt.get(i);
            long untilMs = i + 1 < changedAt.size() ? changedAt.get(i + 1) : Long.MAX_VALUE;
            int parity = (7 + i + 1) % 2;
            // The first request that a server has run as only the new version allows.
            long effectMs = RUNS.values().stream()
                    .filter(run -> run.atMs() >= fromMs && run.atMs() < untilMs && run.service().endsWith("-" + parity))
                    .mapToLong(Run::atMs)
                    .min()
                    .orElse(Long.MAX_VALUE);
            int olderHere = 0;
            for (Sent one : sent) {
                Run run = RUNS.get(one.id());
                if (run == null || one.atMs() >= untilMs || one.atMs() <= effectMs + ROLLBACK_SLACK_MS) {
                    continue;
                }
                if (!run.service().endsWith("-" + parity) && run.atMs() < untilMs) {
                    olderHere++;
                    latest = Math.max(latest, one.atMs() - effectMs);
                    NOTES.add("older: " + one.id() + " sent " + (one.atMs() - effectMs)
                            + " ms after a server saw manifest " + (8 + i) + ", run by " + run.service());
                }
            }
            older += olderHere;
            changesBroken += olderHere > 0 ? 1 : 0;
        }
        String summary = "trouble " + trouble + ", " + changedAt.size() + " changes, " + sent.size() + " sent, "
                + RUNS.size() + " run; handled as only an older manifest allows, over " + ROLLBACK_SLACK_MS
                + " ms after its effect: " + older + " after " + changesBroken + " changes, the last " + latest
                + " ms after: " + (older > 0 ? "BROKEN" : "held") + "\n";
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
            out.print(summary);
            NOTES.forEach(out::println);
            for (Sent one : sent) {
                Run run = RUNS.get(one.id());
                out.println("sent " + (one.atMs() - startMs) + " ms " + one.id() + " answered "
                        + ANSWERS.getOrDefault(one.id(), 0)
                        + (run == null ? "" : " run " + (run.atMs() - startMs) + " ms by " + run.service()));
            }
        }
        System.out.print(summary);
        return older > 0 ? 1 : 0;
    }
}
