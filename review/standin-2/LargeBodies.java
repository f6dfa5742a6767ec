import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Case 6: uploads as large as the configuration allows, and small requests that run at most once beside them. In the
 * disruption, the uploads come 2.5 times as often for 10 s.
 */
final class LargeBodies {
    private static final int UPLOAD_BYTES = 4_194_304;
    private static final double UPLOADS_PER_S = 12;
    private static final double BURST = 2.5;
    private static final long BURST_FROM_MS = 8_000;
    private static final long BURST_TO_MS = 18_000;
    private static final long END_MS = 26_000;
    private static final long UPLOAD_WORK_MS = 3_000;
    private static final long ORDER_WORK_MS = 100;
    private static final long UPLOAD_LIMIT_MS = 8_000;
    private static final long ORDER_LIMIT_MS = 3_000;
    private static final long MAX_UNREAD_MS = 1_000;
    /** How long clients wait for an answer beyond their time limit. */
    private static final long ANSWER_SLACK_MS = 800;
    private static final int ORDER_CLIENTS = 16;
    private static final long ORDER_PAUSE_MS = 300;

    private final Kit kit;
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> uploadResults = new TreeMap<>();
    private final Map<String, Integer> orderResults = new TreeMap<>();
    private final List<String> unanswered = new ArrayList<>();
    private int atTimeout;
    private volatile long longestSilenceMs;

    private LargeBodies(Kit kit) {
        this.kit = kit;
    }

    static boolean play(Kit kit, boolean trouble) throws Exception {
        return new LargeBodies(kit).play(trouble);
    }

    private boolean play(boolean trouble) throws Exception {
        int uploadPort = Kit.serve(conn -> serve(conn, "u1", UPLOAD_WORK_MS)).getLocalPort();
        int orderPort = Kit.serve(conn -> serve(conn, "o1", ORDER_WORK_MS)).getLocalPort();
        kit.store.put("op/config", """
                {"version":1,"routes":[
                 {"name":"upload","host":"h.example","pathPrefix":"/upload/","kind":"idempotent","timeoutMs":8000,
                  "targetLatencyMs":6000,"priority":1,"service":"archive","maxAttempts":1},
                 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":3000,
                  "targetLatencyMs":800,"priority":0,"service":"ledger","maxAttempts":1}],
                 "services":[{"name":"archive","healthPath":"/healthz","maxConns":370,"coldS":0,"coldPerS":100},
                  {"name":"ledger","healthPath":"/healthz","maxConns":110,"coldS":0,"coldPerS":100}],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000}}""");
        kit.store.putServer("u1", "archive", uploadPort, "z-a", 200, 1);
        kit.store.putServer("o1", "ledger", orderPort, "z-a", 64, 1);
        Kit.Gateway gateway = kit.startGateway("front-1", "z-a", List.of("z-a"), Map.of());
        long startMs = kit.nowMs();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < ORDER_CLIENTS; i++) {
            String client = "client" + i;
            threads.add(Thread.startVirtualThread(() -> order(gateway, client, startMs)));
        }
        threads.add(Thread.startVirtualThread(() -> probe(gateway, startMs)));
        byte[] body = new byte[UPLOAD_BYTES];
        double dueMs = 0;
        for (int i = 0; dueMs < END_MS; i++) {
            Thread.sleep(Math.max(0, startMs + (long) dueMs - kit.nowMs()));
            String id = "upload" + i;
            threads.add(Thread.startVirtualThread(() -> upload(gateway, id, body)));
            boolean burst = trouble && dueMs >= BURST_FROM_MS && dueMs < BURST_TO_MS;
            dueMs += 1_000 / (burst ? UPLOADS_PER_S * BURST : UPLOADS_PER_S);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        kit.record("uploads: " + uploadResults);
        kit.record("orders: " + orderResults);
        kit.record("orders still unanswered at the timeout of their route: " + atTimeout);
        kit.record("of these without an answer 0.5 s later: " + unanswered.size() + " " + unanswered);
        kit.record("longest time without an answer to GET /readyz: " + longestSilenceMs + " ms");
        kit.record("gateway running: " + gateway.isAlive());
        boolean broken = unanswered.size() >= 8 && unanswered.size() * 4 > atTimeout;
        System.out.println((broken ? "CONFIG broken: " : "held: ") + atTimeout + " orders unanswered at the timeout, "
                + unanswered.size() + " of them 0.5 s later; longest time without readiness " + longestSilenceMs
                + " ms; orders " + orderResults + "; uploads " + uploadResults);
        return broken;
    }

    /** The platform's check of readiness, once a second. */
    private void probe(Kit.Gateway gateway, long startMs) {
        long readyMs = kit.nowMs();
        while (kit.nowMs() - startMs < END_MS) {
            try {
                boolean ready = gateway.isReady();
                longestSilenceMs = Math.max(longestSilenceMs, kit.nowMs() - readyMs);
                readyMs = ready ? kit.nowMs() : readyMs;
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** A sound server: it reads each request whole, works for a while and answers. */
    private void serve(Kit.Conn conn, String name, long workMs) throws Exception {
        while (true) {
            Kit.Head head = conn.readHead();
            conn.readBody(head, 0);
            String id = head.header("X-Attempt-Id");
            if (id.isEmpty()) {
                conn.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + name + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                continue;
            }
            if (!head.header("X-Expect-Instance").equals(name)) {
                conn.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + name
                        + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                continue;
            }
            run.add(id);
            kit.record(name + " runs " + id);
            Thread.sleep(workMs);
            conn.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id
                    + "\r\nContent-Length: 4\r\n\r\n", "done".getBytes());
        }
    }

    /** A client that leaves after its time limit, and after a second in which its request isn't read. */
    private void upload(Kit.Gateway gateway, String id, byte[] body) {
        long sentMs = kit.nowMs();
        String result;
        try (Kit.Conn conn = new Kit.Conn(gateway.front)) {
            AtomicBoolean written = new AtomicBoolean();
            closeAfter(conn, MAX_UNREAD_MS, () -> !written.get());
            closeAfter(conn, UPLOAD_LIMIT_MS + ANSWER_SLACK_MS, () -> true);
            conn.send("POST /upload/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: " + UPLOAD_LIMIT_MS + "\r\nContent-Length: " + body.length + "\r\n\r\n", body);
            written.set(true);
            Kit.Head head = conn.readHead();
            conn.readBody(head, 0);
            result = Integer.toString(head.status());
        } catch (Exception e) {
            result = "no answer";
        }
        count(uploadResults, id, result, sentMs);
    }

    /** Sends one order after the other on a kept connection, and opens another one when that was closed. */
    private void order(Kit.Gateway gateway, String client, long startMs) {
        Kit.Conn conn = null;
        for (int i = 0; kit.nowMs() - startMs < END_MS; i++) {
            String id = client + "-order" + i;
            long sentMs = kit.nowMs();
            String result;
            try {
                conn = conn == null ? new Kit.Conn(gateway.front) : conn;
                conn.socket.setSoTimeout((int) (ORDER_LIMIT_MS + ANSWER_SLACK_MS));
                conn.send("POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: " + ORDER_LIMIT_MS + "\r\nContent-Length: 5\r\n\r\n", "order".getBytes());
                Kit.Head head = conn.readHead();
                conn.readBody(head, 0);
                result = Integer.toString(head.status());
                if (head.header("Connection").equalsIgnoreCase("close")) {
                    conn.close();
                    conn = null;
                }
            } catch (Exception e) {
                result = "no answer";
                closeQuietly(conn);
                conn = null;
            }
            long tookMs = kit.nowMs() - sentMs;
            count(orderResults, id, result, sentMs);
            if (tookMs >= ORDER_LIMIT_MS) {
                overdue(id, tookMs, result);
            }
            try {
                Thread.sleep(ORDER_PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
        closeQuietly(conn);
    }

    /** Records an order that has lasted for the timeout of its route. */
    private synchronized void overdue(String id, long tookMs, String result) {
        atTimeout++;
        if (tookMs > ORDER_LIMIT_MS + 500) {
            unanswered.add(id + (run.contains(id) ? " (run)" : ""));
        }
    }

    private void closeAfter(Kit.Conn conn, long delayMs, BooleanSupplier condition) {
        Thread.startVirtualThread(() -> {
            try {
                Thread.sleep(delayMs);
            } catch (InterruptedException e) {
                return;
            }
            if (condition.getAsBoolean()) {
                closeQuietly(conn);
            }
        });
    }

    private static void closeQuietly(Kit.Conn conn) {
        try {
            if (conn != null) {
                conn.close();
            }
        } catch (IOException e) {
            // Nothing else can be done.
        }
    }

    private void count(Map<String, Integer> results, String id, String result, long sentMs) {
        kit.record(id + ": " + result + " after " + (kit.nowMs() - sentMs) + " ms");
        synchronized (results) {
            results.merge(result, 1, Integer::sum);
        }
    }
}
