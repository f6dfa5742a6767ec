import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends a request whose Transfer-Encoding is not chunked, with another request inside its body. */
final class SmuggledRequest {
    private static final String MANIFEST = """
            {"version":3,"routes":[
             {"name":"confirm","host":"shop.example","pathPrefix":"/confirm/","kind":"non_idempotent",
              "timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"ledger","maxAttempts":1}],
             "services":[{"name":"ledger","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""";
    private static final int REQUESTS = 20;

    private SmuggledRequest() {}

    public static void main(String[] args) throws Exception {
        Http.exitWithTwoOnError();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Map<String, String> bodies = new ConcurrentHashMap<>();
        Map<String, String> sent = new ConcurrentHashMap<>();
        List<Server> servers = new ArrayList<>();
        List<Gateway> gateways = new ArrayList<>();
        int status = 2;
        try (Store store = new Store()) {
            store.put("op/config", MANIFEST);
            for (int i = 0; i < 3; i++) {
                Server server = new Server(record, store, "ledger", "zone-a", 21, (at, request) -> {
                    String attempt = request.header("X-Attempt-Id");
                    record.line("server %s gets %s of %s with a body of %d bytes",
                            at.id(), request.firstLine(), attempt, request.body().length);
                    bodies.put(attempt, request.text());
                });
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
            for (int i = 0; i < REQUESTS; i++) {
                String inner = head("inside-" + i) + "Content-Length: 13\r\n\r\n{\"lot\":4471}\r\n";
                String framing = trouble ? "Transfer-Encoding: gzip" : "Content-Length: " + inner.length();
                String attempt = "outer-" + i;
                sent.put(attempt, inner);
                record.line("the client sends %s with %s and a body of %d bytes", attempt, framing, inner.length());
                byte[] body = inner.getBytes(StandardCharsets.ISO_8859_1);
                try {
                    Http.Message answer = Http.call(
                            gateways.get(i % 2).front, head(attempt) + framing + "\r\n\r\n", body, 3_000);
                    record.line("%s: %d %s", attempt, answer.status(), answer.text());
                } catch (IOException e) {
                    record.line("%s: no answer: %s", attempt, e.getMessage());
                }
            }
            Thread.sleep(2_000);
            long smuggled = bodies.keySet().stream().filter(id -> !sent.containsKey(id)).count();
            long changed = sent.entrySet().stream()
                    .filter(e -> bodies.containsKey(e.getKey()) && !bodies.get(e.getKey()).equals(e.getValue()))
                    .count();
            record.line("run by servers: %d requests that were inside others, %d with a changed body", smuggled, changed);
            status = smuggled + changed > 0 ? 1 : 0;
            if (!trouble && bodies.size() < REQUESTS) {
                status = 2;
            }
        } finally {
            gateways.forEach(Gateway::close);
            servers.forEach(Server::close);
            record.line("exit %d", status);
        }
        System.exit(status);
    }

    private static String head(String attempt) {
        return "POST /confirm/lot HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 3000\r\n";
    }
}
