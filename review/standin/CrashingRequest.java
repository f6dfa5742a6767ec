import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An idempotent request crashes each server that begins to run it, and comes again. */
final class CrashingRequest {
    private static final String MANIFEST = """
            {"version":3,"routes":[
             {"name":"confirm","host":"shop.example","pathPrefix":"/confirm/","kind":"non_idempotent",
              "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":1},
             {"name":"stock","host":"shop.example","pathPrefix":"/stock/","kind":"idempotent",
              "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":2}],
             "services":[{"name":"ledger","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""";
    private static final String CRASHING_PATH = "/stock/lot-4471";
    private static final String CRASHING_BODY = "{\"lot\":4471}";
    private static final long STABLE_WINDOW_MS = 5_000;
    private static final int ALLOWED_ARRIVALS = 3;
    /** How often the request comes, and the pause between, which is longer than a server needs to be back. */
    private static final int REPEATS = 12;

    private static final long PAUSE_MS = 5_000;

    private CrashingRequest() {}

    public static void main(String[] args) throws Exception {
        Http.exitWithTwoOnError();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        ConcurrentLinkedQueue<Long> arrivals = new ConcurrentLinkedQueue<>();
        List<Server> servers = new ArrayList<>();
        List<Gateway> gateways = new ArrayList<>();
        AtomicInteger confirmed = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        int status = 2;
        try (Store store = new Store()) {
            store.put("op/config", MANIFEST);
            for (int i = 0; i < 4; i++) {
                Server server = new Server(record, store, "ledger", "zone-a", 86, (at, request) -> {
                    if (request.target().equals(CRASHING_PATH)) {
                        arrivals.add(record.nowMs());
                        record.line("the request arrives at server %s", at.id());
                    }
                });
                if (trouble) {
                    server.crashOn(request -> request.target().equals(CRASHING_PATH)
                            && request.text().equals(CRASHING_BODY));
                }
                server.start();
                servers.add(server);
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
            Thread others = Thread.ofVirtual().start(() -> confirm(record, gateways, confirmed, lost));
            for (int i = 0; i < REPEATS; i++) {
                Gateway gateway = gateways.get(i % gateways.size());
                String attempt = "stock-" + i;
                record.line("the client sends %s to %s", attempt, gateway.name);
                record.line("%s: %s", attempt, send(gateway, "GET " + CRASHING_PATH, attempt, CRASHING_BODY));
                Thread.sleep(PAUSE_MS);
            }
            others.interrupt();
            others.join();
            Thread.sleep(2_000);
            status = judge(record, new ArrayList<>(arrivals), trouble);
            record.line("purchase confirmations: %d answered by a server, %d lost after they were sent on",
                    confirmed.get(), lost.get());
        } finally {
            gateways.forEach(Gateway::close);
            servers.forEach(Server::close);
            record.line("exit %d", status);
        }
        System.exit(status);
    }

    private static int judge(Record record, List<Long> arrivals, boolean trouble) {
        if (!trouble) {
            record.line("no disruption: the request arrived %d times", arrivals.size());
            return arrivals.size() >= REPEATS ? 0 : 2;
        }
        if (arrivals.size() < ALLOWED_ARRIVALS) {
            return 0;
        }
        long fromMs = arrivals.get(2) + STABLE_WINDOW_MS;
        long late = arrivals.stream().filter(at -> at > fromMs).count();
        record.line("third crash at %.3f s; %d arrivals later than %d ms after it; allowed %d",
                arrivals.get(2) / 1000.0, late, STABLE_WINDOW_MS, ALLOWED_ARRIVALS);
        return late > ALLOWED_ARRIVALS ? 1 : 0;
    }

    /** Other clients confirm purchases, 25 a second; their requests run at most once. */
    private static void confirm(
            Record record, List<Gateway> gateways, AtomicInteger confirmed, AtomicInteger lost) {
        for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
            String attempt = "confirm-" + i;
            Gateway gateway = gateways.get(i % gateways.size());
            Thread.ofVirtual().start(() -> {
                String answer = send(gateway, "POST /confirm/" + attempt, attempt, "{}");
                if (answer.startsWith("200")) {
                    confirmed.incrementAndGet();
                } else if (!answer.startsWith("503")) {
                    lost.incrementAndGet();
                    record.line("%s: %s", attempt, answer);
                }
            });
            try {
                Thread.sleep(40);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String send(Gateway gateway, String line, String attempt, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        String head = line + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: " + body.length + "\r\n\r\n";
        try {
            Http.Message answer = Http.call(gateway.front, head, body, 4_000);
            return answer.status() + " " + answer.header("X-Server-Seal") + " Retry-After "
                    + answer.header("Retry-After") + " " + answer.text();
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }
}
