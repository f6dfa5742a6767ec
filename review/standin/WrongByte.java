import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers hand out wrong bytes in a burst, and servers are added; later a manifest moves the route. */
final class WrongByte {
    private static final String MANIFEST = """
            {"version":%d,"routes":[
             {"name":"query","host":"shop.example","pathPrefix":"/query/","kind":"streaming",
              "timeoutMs":5000,"targetLatencyMs":800,"priority":0,"service":"%s","maxAttempts":2,"resumable":true,
              "targetGapMs":400}],
             "services":[{"name":"old","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":0},
              {"name":"new","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""";
    private static final long STABLE_WINDOW_MS = 5_000;
    private static final long CONFIG_APPLY_MS = 3_000;
    private static final int PROBES = 10;
    private static final int SERVERS = 6;
    /** Bursts of 5 s, in each of which half of the servers spoil 5 % of their answers and servers are added. */
    private static final int ROUNDS = 4;

    private static final int ADDED = 2;
    private static final long ADDED_GAP_MS = 1_600;
    private static final long DRAIN_MS = 3_000;
    private static final double SPOILED_SHARE = 0.05;
    /** Mean pause between two requests: 70 a second, and 2.7 times as many in a burst. */
    private static final double NORMAL_PAUSE_MS = 14.2;

    private static final double BURST_PAUSE_MS = 5.26;

    private static volatile double meanPauseMs = NORMAL_PAUSE_MS;

    private WrongByte() {}

    public static void main(String[] args) throws Exception {
        Http.exitWithTwoOnError();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        List<StreamServer> servers = new ArrayList<>();
        List<Gateway> gateways = new ArrayList<>();
        int status = 2;
        try (Store store = new Store()) {
            int version = 3;
            store.put("op/config", MANIFEST.formatted(version, "old"));
            for (int i = 0; i < 2 * SERVERS; i++) {
                servers.add(new StreamServer(record, store, i < SERVERS ? "old" : "new"));
            }
            gateways.add(new Gateway("front-1", "region-a", folder));
            gateways.add(new Gateway("front-2", "region-a", folder));
            for (Gateway gateway : gateways) {
                gateway.start(store.port(), gateways);
            }
            for (Gateway gateway : gateways) {
                gateway.awaitReady();
            }
            Thread clients = Thread.ofVirtual().start(() -> query(gateways));
            Thread.sleep(STABLE_WINDOW_MS);
            for (int round = 0; round < ROUNDS; round++) {
                record.line("a burst begins%s", trouble ? ", and half of the servers hand out wrong bytes" : "");
                for (int i = 0; i < SERVERS && trouble; i += 2) {
                    servers.get(i).spoil(SPOILED_SHARE);
                }
                meanPauseMs = BURST_PAUSE_MS;
                List<StreamServer> added = new ArrayList<>();
                for (int i = 0; i < ADDED; i++) {
                    Thread.sleep(ADDED_GAP_MS);
                    added.add(new StreamServer(record, store, "old"));
                }
                Thread.sleep(ADDED_GAP_MS);
                servers.forEach(server -> server.spoil(0));
                meanPauseMs = NORMAL_PAUSE_MS;
                record.line("the burst ends; %d answers were spoiled so far",
                        servers.stream().mapToInt(StreamServer::spoiled).sum());
                added.forEach(StreamServer::drain);
                Thread.sleep(DRAIN_MS + 1_000);
                added.forEach(StreamServer::leave);
                Thread.sleep(500);
            }
            Thread.sleep(STABLE_WINDOW_MS + 1_000);
            store.put("op/config", MANIFEST.formatted(++version, "new"));
            record.line("the store acknowledges version %d, which moves the route to another service", version);
            Thread.sleep(CONFIG_APPLY_MS + 1_000);
            int old = 0;
            for (Gateway gateway : gateways) {
                int[] answers = new int[2];
                for (int i = 0; i < PROBES; i++) {
                    Http.Message answer = send(gateway, "probe-" + gateway.name + "-" + i);
                    answers[answer.header("X-Service").equals("new") ? 1 : 0]++;
                    old += answer.header("X-Service").equals("old") ? 1 : 0;
                }
                record.line("%d ms after the ack, %s: %d of %d requests are run by the new service",
                        CONFIG_APPLY_MS + 1_000, gateway.name, answers[1], PROBES);
            }
            clients.interrupt();
            clients.join();
            record.line("requests that are handled as only an older version allows: %d", old);
            status = old > 0 ? 1 : 0;
        } finally {
            gateways.forEach(Gateway::close);
            servers.forEach(StreamServer::close);
            record.line("exit %d", status);
        }
        System.exit(status);
    }

    /** Clients send requests at random times, with a mean pause that a burst shortens. */
    private static void query(List<Gateway> gateways) {
        AtomicInteger number = new AtomicInteger();
        while (!Thread.currentThread().isInterrupted()) {
            int i = number.incrementAndGet();
            Thread.ofVirtual().start(() -> {
                try {
                    send(gateways.get(i % gateways.size()), "query-" + i);
                } catch (IOException e) {
                    // A stream that was broken off.
                }
            });
            long pauseUs = (long) (-Math.log(1 - ThreadLocalRandom.current().nextDouble()) * meanPauseMs * 1_000);
            try {
                TimeUnit.MICROSECONDS.sleep(pauseUs);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Http.Message send(Gateway gateway, String attempt) throws IOException {
        String head = "POST /query/lot HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n";
        return Http.call(gateway.front, head, new byte[] {'{', '}'}, 6_000);
    }
}
