import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The servers of a service are replaced one after the other while the store cuts waiting watches. */
final class WatchCut {
    private static final String MANIFEST = """
            {"version":3,"routes":[
             {"name":"confirm","host":"shop.example","pathPrefix":"/confirm/","kind":"non_idempotent",
              "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":1}],
             "services":[{"name":"ledger","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""";
    private static final long STABLE_WINDOW_MS = 5_000;
    private static final long DRAIN_MS = 3_000;
    /** How long an old server goes on serving after the end of its drain time. */
    private static final long LONGER_MS = 4_000;

    private static final int SERVERS = 6;
    /** Pause between the replacements of two servers. */
    private static final long RELEASE_GAP_MS = 1_500;
    /** After how long a watch that waits is cut. */
    private static final long WATCH_CUT_MS = 500;

    private WatchCut() {}

    private record Late(String server, String attempt, long afterMs) {}

    public static void main(String[] args) throws Exception {
        Http.exitWithTwoOnError();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Map<Server, Long> removedAtMs = new ConcurrentHashMap<>();
        ConcurrentLinkedQueue<Late> late = new ConcurrentLinkedQueue<>();
        List<Server> servers = new ArrayList<>();
        List<Gateway> gateways = new ArrayList<>();
        int status = 2;
        try (Store store = new Store()) {
            store.put("op/config", MANIFEST);
            for (int i = 0; i < 2 * SERVERS; i++) {
                servers.add(new Server(record, store, "ledger", "zone-a", 21, (at, request) -> {
                    Long removed = removedAtMs.get(at);
                    long afterMs = removed == null ? 0 : record.nowMs() - removed;
                    if (afterMs > DRAIN_MS) {
                        record.line("LATE: %s reaches %s %d ms after its removal was acknowledged",
                                request.header("X-Attempt-Id"), at.id(), afterMs);
                        late.add(new Late(at.id(), request.header("X-Attempt-Id"), afterMs));
                    }
                }));
            }
            for (Server server : servers.subList(0, SERVERS)) {
                server.start();
            }
            gateways.add(new Gateway("front-1", "region-a", folder));
            gateways.add(new Gateway("front-2", "region-a", folder));
            for (Gateway gateway : gateways) {
                gateway.start(store.port(), gateways);
            }
            for (Gateway gateway : gateways) {
                gateway.awaitReady();
            }
            Thread.sleep(STABLE_WINDOW_MS + 1_000);
            if (trouble) {
                store.cutWatchesAfter(() -> WATCH_CUT_MS);
            }
            Thread clients = Thread.ofVirtual().start(() -> confirm(record, gateways));
            Thread.sleep(2_000);
            for (int i = 0; i < SERVERS; i++) {
                servers.get(SERVERS + i).start();
                Server old = servers.get(i);
                store.remove("servers/" + old.id());
                removedAtMs.put(old, record.nowMs());
                record.line("the store acknowledges the removal of %s (%d watches cut so far)",
                        old.id(), store.cutWatches());
                Thread.ofVirtual().start(() -> {
                    try {
                        Thread.sleep(DRAIN_MS + LONGER_MS);
                        record.line("server %s ends", old.id());
                        old.close();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                Thread.sleep(RELEASE_GAP_MS);
            }
            Thread.sleep(8_000);
            clients.interrupt();
            clients.join();
            Thread.sleep(2_000);
            record.line("watches cut: %d; requests that reached a server later than %d ms after its removal: %d",
                    store.cutWatches(), DRAIN_MS, late.size());
            status = late.isEmpty() ? 0 : 1;
        } finally {
            gateways.forEach(Gateway::close);
            servers.forEach(Server::close);
            record.line("exit %d", status);
        }
        System.exit(status);
    }

    /** Clients confirm purchases, 40 a second. */
    private static void confirm(Record record, List<Gateway> gateways) {
        for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
            String attempt = "confirm-" + i;
            Gateway gateway = gateways.get(i % gateways.size());
            Thread.ofVirtual().start(() -> {
                String answer = send(gateway, attempt);
                if (!answer.startsWith("200")) {
                    record.line("%s: %s", attempt, answer);
                }
            });
            try {
                Thread.sleep(25);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String send(Gateway gateway, String attempt) {
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        String head = "POST /confirm/" + attempt + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: " + body.length + "\r\n\r\n";
        try {
            Http.Message answer = Http.call(gateway.front, head, body, 4_000);
            return answer.status() + " " + answer.text();
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }
}
