import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform stops an instance, and the same stop signal comes a second time within the grace period. */
final class SecondStop {
    private static final String MANIFEST = """
            {"version":3,"routes":[
             {"name":"confirm","host":"shop.example","pathPrefix":"/confirm/","kind":"non_idempotent",
              "timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":1}],
             "services":[{"name":"ledger","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""";
    private static final long STABLE_WINDOW_MS = 5_000;
    private static final long LOSS_SLACK_MS = 200;
    private static final long GRACE_MS = 8_000;

    private SecondStop() {}

    public static void main(String[] args) throws Exception {
        Http.exitWithTwoOnError();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Set<String> ran = ConcurrentHashMap.newKeySet();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Server> servers = new ArrayList<>();
        List<Gateway> gateways = new ArrayList<>();
        int status = 2;
        try (Store store = new Store()) {
            store.put("op/config", MANIFEST);
            for (int i = 0; i < 4; i++) {
                Server server = new Server(record, store, "ledger", "zone-a", 450,
                        (at, request) -> ran.add(request.header("X-Attempt-Id")));
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
            Gateway stopped = gateways.getFirst();
            List<Thread> requests = new ArrayList<>();
            Thread clients = Thread.ofVirtual().start(() -> {
                for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
                    String attempt = "confirm-" + i;
                    requests.add(Thread.ofVirtual().start(() -> confirm(record, stopped, attempt, ran, answered, lost)));
                    try {
                        Thread.sleep(50);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            Thread.sleep(2_000);
            record.line("SIGTERM to %s", stopped.name);
            stopped.signal("TERM");
            Thread.sleep(1_000);
            if (trouble) {
                record.line("SIGTERM to %s again", stopped.name);
                stopped.signal("TERM");
            }
            Thread.sleep(1_000);
            clients.interrupt();
            clients.join();
            for (Thread request : requests) {
                request.join();
            }
            Thread.sleep(GRACE_MS - 2_000);
            record.line("%s is %s; %d requests answered, %d passed on to a server and lost", stopped.name,
                    stopped.isAlive() ? "running" : "gone", answered.get(), lost.get());
            status = lost.get() == 0 ? 0 : 1;
        } finally {
            gateways.forEach(Gateway::close);
            servers.forEach(Server::close);
            record.line("exit %d", status);
        }
        System.exit(status);
    }

    private static void confirm(
            Record record, Gateway gateway, String attempt, Set<String> ran, AtomicInteger answered, AtomicInteger lost) {
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        String head = "POST /confirm/" + attempt + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: " + body.length + "\r\n\r\n";
        long sentMs = record.nowMs();
        try {
            Http.Message answer = Http.call(gateway.front, head, body, 4_000);
            record.line("%s: %d %s", attempt, answer.status(), answer.text());
            answered.incrementAndGet();
        } catch (IOException e) {
            boolean wasSentOn = ran.contains(attempt);
            record.line("%s: no answer %d ms after it was sent, %s: %s", attempt, record.nowMs() - sentMs,
                    wasSentOn ? "passed on to a server" : "not passed on", e.getMessage());
            if (wasSentOn || (record.nowMs() - sentMs > LOSS_SLACK_MS && !(e instanceof java.net.ConnectException))) {
                lost.incrementAndGet();
            }
        }
    }
}
