import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Two regions with two gateways each share the quota of a tenant; the regions lose each other for a while. */
final class QuotaInLongCut {
    private static final long RATE = 600_000;
    private static final long BURST = 600_000;
    private static final long COST = 10_000;
    private static final long WINDOW_MS = 8_000;
    private static final double EXCESS = 0.25;
    private static final double SLACK = 190_000;
    private static final int SENT_PER_S_AND_GATEWAY = 48;
    private static final long TRAFFIC_MS = 101_000;
    private static final long CUT_AT_MS = 8_000;

    private record Sent(String id, String gateway, long atMs) {}

    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Long> RUN_AT = new ConcurrentHashMap<>();
    private static final ConcurrentLinkedQueue<Sent> SENT = new ConcurrentLinkedQueue<>();
    private static final AtomicInteger RUN_TWICE = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path record = Path.of(args[0]);
        Path folder = Files.createTempDirectory("case");
        int code = 2;
        try {
            code = run(trouble, record, folder);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            Gateway.endAll();
        }
        System.exit(code);
    }

    private static int run(boolean trouble, Path record, Path folder) throws Exception {
        // East is 127.0.1.x and known in the west as 127.0.2.x; west is 127.0.3.x and known in the east as 127.0.4.x.
        List<String> hosts = new ArrayList<>();
        for (int net = 1; net <= 4; net++) {
            hosts.add("127.0." + net + ".1");
            hosts.add("127.0." + net + ".2");
        }
        int base = Ports.freeBase(hosts, 10);
        Store store = new Store();
        store.new Door("127.0.1.1", base);
        // The store stands in the east; the west reaches it over a link, without an address to replace.
        Link storeLink = new Link("127.0.2.1", base, "127.0.1.1", Map.of(), Map.of());
        store.put("op/config", configuration());
        Server.OnRun onRun = (server, request, atMs) -> {
            String id = request.header("X-Attempt-Id");
            if (RUNS.put(id, server.id) != null) {
                RUN_TWICE.incrementAndGet();
            }
            RUN_AT.put(id, atMs);
        };
        for (int i = 1; i <= 2; i++) {
            new Server("i-east" + i, "shop", "east-a", "127.0.1." + i, base + 7, 64, 20, onRun).register(store);
            new Server("i-west" + i, "shop", "west-a", "127.0.3." + i, base + 7, 64, 20, onRun).register(store);
        }
        List<Link> links = new ArrayList<>();
        links.add(storeLink);
        for (int i = 1; i <= 2; i++) {
            links.add(new Link(
                    "127.0.2." + i, base + 4, "127.0.1." + i,
                    Map.of("127.0.3.", "127.0.4.", "127.0.2.", "127.0.1."),
                    Map.of("127.0.1.", "127.0.2.", "127.0.4.", "127.0.3.")));
            links.add(new Link(
                    "127.0.4." + i, base + 4, "127.0.3." + i,
                    Map.of("127.0.1.", "127.0.2.", "127.0.4.", "127.0.3."),
                    Map.of("127.0.3.", "127.0.4.", "127.0.2.", "127.0.1.")));
        }
        List<Gateway> gateways = new ArrayList<>();
        String zones = "east-a:east,west-a:west";
        String bounds = "quota-window-s = 8\nquota-excess = 0.25\nquota-slack = 190000\nstrict-revoke = false\n"
                + "revoke-ms = 5000\n";
        for (int i = 1; i <= 2; i++) {
            String eastSeeds = "127.0.1.1:" + (base + 4) + ",127.0.1.2:" + (base + 4) + ",127.0.4.1:" + (base + 4);
            String westSeeds = "127.0.3.1:" + (base + 4) + ",127.0.3.2:" + (base + 4) + ",127.0.2.1:" + (base + 4);
            gateways.add(new Gateway(folder, "front-east-" + i, "127.0.1." + i, base, Gateway.settings(
                    "front-east-" + i, "east", "east-a", zones, "127.0.1." + i, base, "127.0.1.1:" + base, eastSeeds,
                    bounds)));
            gateways.add(new Gateway(folder, "front-west-" + i, "127.0.3." + i, base, Gateway.settings(
                    "front-west-" + i, "west", "west-a", zones, "127.0.3." + i, base, "127.0.2.1:" + base, westSeeds,
                    bounds)));
        }
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady(10_000);
        }
        long startMs = System.currentTimeMillis();
        long cutMs = startMs + CUT_AT_MS;
        Thread cutter = Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(CUT_AT_MS);
                for (Link link : trouble ? links : List.<Link>of()) {
                    link.cut();
                }
            } catch (InterruptedException | IOException e) {
                e.printStackTrace();
            }
        });
        List<Thread> senders = new ArrayList<>();
        for (Gateway gateway : gateways) {
            senders.add(Thread.ofVirtual().start(() -> send(gateway, startMs)));
        }
        cutter.join();
        for (Thread sender : senders) {
            sender.join();
        }
        Thread.sleep(1_500);
        return judge(trouble, record, startMs, cutMs);
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-save\",\"host\":\"shop.example\",\"pathPrefix\":\"/save/\","
                + "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":1,"
                + "\"service\":\"shop\",\"maxAttempts\":1,\"sticky\":false,\"resumable\":false,\"homeRegions\":[]}],"
                + "\"services\":[{\"name\":\"shop\",\"healthPath\":\"/healthz\",\"maxConns\":520,\"protocol\":\"h1\","
                + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"t-one\",\"apiKeys\":[\"key-one\"],\"unit\":\"token_count\",\"ratePerS\":"
                + RATE + ",\"burst\":" + BURST + ",\"plainTokens\":" + COST + "}]}";
    }

    /** Sends requests at an even rate, each on a connection that is free. */
    private static void send(Gateway gateway, long startMs) {
        Deque<Http.Connection> free = new ArrayDeque<>();
        long intervalMicros = 1_000_000 / SENT_PER_S_AND_GATEWAY;
        for (int i = 0; i * intervalMicros / 1000 < TRAFFIC_MS; i++) {
            long dueMs = startMs + i * intervalMicros / 1000;
            String id = gateway.name.replace("front-", "") + "-" + i;
            try {
                Thread.sleep(Math.max(0, dueMs - System.currentTimeMillis()));
            } catch (InterruptedException e) {
                return;
            }
            Thread.ofVirtual().start(() -> request(gateway, free, id));
        }
    }

    private static void request(Gateway gateway, Deque<Http.Connection> free, String id) {
        Http.Connection connection;
        synchronized (free) {
            connection = free.poll();
        }
        SENT.add(new Sent(id, gateway.name, System.currentTimeMillis()));
        try {
            if (connection == null) {
                connection = new Http.Connection(gateway.host, gateway.basePort + 1, 1_000);
            }
            Http.Message answer = connection.call(
                    "POST /save/order HTTP/1.1",
                    List.of(
                            "Host: shop.example", "X-Attempt-Id: " + id, "X-Deadline-Ms: 3000",
                            "Authorization: Token key-one"),
                    "order".getBytes(),
                    3_500);
            ANSWERS.put(id, answer.status());
            if ("close".equals(answer.header("Connection"))) {
                connection.close();
                return;
            }
            synchronized (free) {
                free.push(connection);
            }
        } catch (IOException e) {
            ANSWERS.put(id, 0);
        }
    }

    private static int judge(boolean trouble, Path record, long startMs, long cutMs) throws IOException {
        List<Sent> sent = new ArrayList<>(SENT);
        sent.sort(Comparator.comparingLong(Sent::atMs));
        double bound = (RATE * WINDOW_MS / 1000.0 + BURST) * (1 + EXCESS) + SLACK;
        List<Sent> ran = sent.stream().filter(one -> RUN_AT.containsKey(one.id())).toList();
        long worst = 0;
        long worstAtMs = 0;
        int first = 0;
        StringBuilder windows = new StringBuilder();
        long nextLineMs = startMs;
        for (int i = 0; i < ran.size(); i++) {
            long fromMs = ran.get(i).atMs();
            long tokens = 0;
            for (int j = i; j < ran.size() && ran.get(j).atMs() < fromMs + WINDOW_MS; j++) {
                tokens += RUN_AT.get(ran.get(j).id()) < fromMs + WINDOW_MS ? COST : 0;
            }
            if (tokens > worst) {
                worst = tokens;
                worstAtMs = fromMs;
            }
            if (fromMs >= nextLineMs) {
                windows.append("window from ").append(fromMs - startMs).append(" ms: ").append(tokens)
                        .append(" tokens\n");
                nextLineMs = fromMs + 4_000;
            }
        }
        boolean broken = worst > bound;
        String summary = "trouble " + trouble + ", cut at " + (cutMs - startMs) + " ms, " + sent.size() + " sent, "
                + ran.size() + " run, bound " + (long) bound + " tokens in " + WINDOW_MS + " ms, most " + worst
                + " from " + (worstAtMs - startMs) + " ms: " + (broken ? "BROKEN" : "held") + "\n";
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
            out.print(summary);
            out.print(windows);
            for (Sent one : sent) {
                Long runMs = RUN_AT.get(one.id());
                out.println("sent " + (one.atMs() - startMs) + " ms " + one.id() + " to " + one.gateway() + " answered "
                        + ANSWERS.getOrDefault(one.id(), 0)
                        + (runMs == null ? "" : " run " + (runMs - startMs) + " ms at " + RUNS.get(one.id())));
            }
        }
        System.out.print(summary);
        System.out.print(windows);
        return broken ? 1 : 0;
    }
}
