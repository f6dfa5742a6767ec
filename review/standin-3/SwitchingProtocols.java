import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** One of two servers spoils a few of its answers to orders: one byte of the status is wrong, 101 in place of 201. */
final class SwitchingProtocols {
    private static final int CLIENTS = 16;
    private static final long TRAFFIC_MS = 15_000;
    private static final long SPOILED_FROM_MS = 5_000;
    private static final long SPOILED_MS = 5_000;
    /** One answer in 20 is spoiled. */
    private static final int SPOILED_EACH = 20;
    private static final int TIMEOUT_MS = 1_500;
    private static final int DEADLINE_MS = 3_000;

    private record Done(String id, long sentMs, long tookMs, String result, List<Integer> interim) {}

    private static final ConcurrentLinkedQueue<Done> DONE = new ConcurrentLinkedQueue<>();
    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, String> SPOILED = new ConcurrentHashMap<>();
    private static final AtomicInteger NEXT = new AtomicInteger();

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
        String host = "127.0.1.1";
        int base = Ports.freeBase(List.of(host), 10);
        Store store = new Store();
        store.new Door(host, base);
        store.put("op/config", configuration());
        Server.OnRun onRun =
                (server, request, atMs) -> RUNS.merge(request.header("X-Attempt-Id"), server.id, (a, b) -> a + "," + b);
        Server sound = new Server("i-one", "ledger", "east-a", host, base + 6, 6, 20, onRun);
        Server faulty = new Server("i-two", "ledger", "east-a", host, base + 7, 6, 20, onRun);
        sound.register(store);
        faulty.register(store);
        Gateway gateway = new Gateway(
                folder, "front-east-1", host, base, Gateway.settings(
                        "front-east-1", "east", "east-a", "east-a:east", host, base, host + ":" + base,
                        host + ":" + (base + 4), ""));
        gateway.start();
        gateway.awaitReady(10_000);
        long startMs = System.currentTimeMillis();
        AtomicInteger answers = new AtomicInteger();
        sound.postStatus = 201;
        faulty.postStatus = 201;
        faulty.spoiler = (server, request, out) -> {
            long atMs = System.currentTimeMillis() - startMs;
            boolean inSpell = trouble && atMs >= SPOILED_FROM_MS && atMs < SPOILED_FROM_MS + SPOILED_MS;
            boolean order = request.method().equals("POST");
            if (!inSpell || !order || answers.incrementAndGet() % SPOILED_EACH != 0) {
                return false;
            }
            String id = request.header("X-Attempt-Id");
            SPOILED.put(id, server.id);
            out.write(Http.message(
                    "HTTP/1.1 101 X",
                    List.of(
                            "X-Instance-Id: " + server.id, "X-Server-Load: 1,0,6", "X-Attempt-Id: " + id,
                            "X-Server-Seal: " + server.id + "." + id),
                    ("done by " + server.id).getBytes(StandardCharsets.UTF_8)));
            out.flush();
            return true;
        };
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            boolean repeatable = i % 4 == 0;
            clients.add(Thread.ofVirtual().start(() -> client(gateway, startMs, repeatable)));
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(trouble, record);
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":[" + route("confirm", "non_idempotent", 1) + ","
                + route("stock", "idempotent", 2) + "],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\","
                + "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}";
    }

    private static String route(String name, String kind, int attempts) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"shop.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\""
                + kind + "\",\"timeoutMs\":" + TIMEOUT_MS + ",\"targetLatencyMs\":300,\"priority\":2,"
                + "\"service\":\"ledger\",\"maxAttempts\":" + attempts
                + ",\"sticky\":false,\"resumable\":false,\"homeRegions\":[]}";
    }

    /** Sends one request after the other on a kept connection; passes over interim answers, as RFC 9110, 15.2 allows. */
    private static void client(Gateway gateway, long startMs, boolean repeatable) {
        Socket socket = null;
        InputStream in = null;
        while (System.currentTimeMillis() < startMs + TRAFFIC_MS) {
            String id = (repeatable ? "stock-" : "confirm-") + NEXT.incrementAndGet();
            long sentMs = System.currentTimeMillis();
            List<Integer> interim = new ArrayList<>();
            String result;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(gateway.host, gateway.basePort + 1), 1_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String first = repeatable ? "GET /stock/x HTTP/1.1" : "POST /confirm/x HTTP/1.1";
                socket.getOutputStream()
                        .write(Http.message(
                                first,
                                List.of("Host: shop.example", "X-Attempt-Id: " + id, "X-Deadline-Ms: " + DEADLINE_MS),
                                repeatable ? new byte[0] : "order".getBytes(StandardCharsets.UTF_8)));
                Http.Message answer;
                while (true) {
                    long leftMs = sentMs + DEADLINE_MS - System.currentTimeMillis();
                    socket.setSoTimeout((int) Math.max(1, leftMs));
                    answer = Http.read(in, false);
                    if (answer == null || answer.status() >= 200) {
                        break;
                    }
                    interim.add(answer.status());
                }
                result = answer == null ? "closed" : Integer.toString(answer.status());
                if (answer == null || "close".equals(answer.header("Connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException e) {
                result = "no answer";
                socket = close(socket);
            } catch (IOException e) {
                result = "closed: " + e.getMessage();
                socket = close(socket);
            }
            long nowMs = System.currentTimeMillis();
            DONE.add(new Done(id, sentMs - startMs, nowMs - sentMs, result, interim));
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
        close(socket);
    }

    private static Socket close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed already.
        }
        return null;
    }

    private static int judge(boolean trouble, Path record) throws IOException {
        List<Done> done = new ArrayList<>(DONE);
        done.sort(Comparator.comparingLong(Done::sentMs));
        long passedOn = done.stream().filter(one -> one.interim().contains(101)).count();
        long late = done.stream().filter(one -> one.tookMs() > TIMEOUT_MS).count();
        long unanswered = done.stream().filter(one -> one.tookMs() > TIMEOUT_MS + 500).count();
        boolean broken = passedOn > 0 && unanswered * 2 > late;
        String summary = "trouble " + trouble + ", " + done.size() + " requests, " + SPOILED.size() + " answers spoiled "
                + "by a server, " + passedOn + " passed on to clients with status 101; " + late
                + " requests unanswered at their timeoutMs, " + unanswered + " of them half a second later: "
                + (broken ? "BROKEN" : "held") + "\n";
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
            out.print(summary);
            for (Done one : done) {
                out.println("sent " + one.sentMs() + " ms " + one.id() + " answered " + one.result() + " after "
                        + one.tookMs() + " ms" + (one.interim().isEmpty() ? "" : ", before it got " + one.interim())
                        + ", run by " + RUNS.getOrDefault(one.id(), "nobody")
                        + (SPOILED.containsKey(one.id()) ? ", spoiled by " + SPOILED.get(one.id()) : ""));
            }
        }
        System.out.print(summary);
        return broken ? 1 : 0;
    }
}
