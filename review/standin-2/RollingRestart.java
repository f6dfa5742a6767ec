import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 7: gateways are stopped and started in turn, while clients connect to the addresses of their latest directory
 * response: for its time to live, some of them for three times as long.
 */
final class RollingRestart {
    private static final int GATEWAYS = 9;
    private static final long GAP_MS = 1_000;
    private static final int CYCLES = 9;
    /** Requests per second that clients would send to each gateway; each opens a connection. */
    private static final double REQUESTS_PER_S = 120;
    private static final long TTL_MS = 2_000;
    private static final double LONG_KEEPERS = 0.75;
    private static final long LIMIT_MS = 3_000;
    private static final long WORK_MS = 21;

    private final Kit kit;
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> results = new TreeMap<>();
    private final List<String> lost = new ArrayList<>();
    private final Map<String, Long> stoppedAtMs = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger restarts = new AtomicInteger();
    private volatile boolean ended;

    private RollingRestart(Kit kit) {
        this.kit = kit;
    }

    static boolean play(Kit kit, boolean trouble) throws Exception {
        return new RollingRestart(kit).play(trouble);
    }

    private boolean play(boolean trouble) throws Exception {
        int port = Kit.serve(this::serve).getLocalPort();
        kit.store.put("op/config", """
                {"version":1,"routes":[
                 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":3000,
                  "targetLatencyMs":321,"priority":0,"service":"ledger","maxAttempts":1}],
                 "services":[{"name":"ledger","healthPath":"/healthz","maxConns":900,"coldS":0,"coldPerS":100}],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000}}""");
        kit.store.putServer("o1", "ledger", port, "z-a", 400, 1);
        List<Kit.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(kit.startGateway("front-" + i, "z-a", List.of("z-a"), Map.of()));
        }
        shareCores();
        List<Thread> threads = new ArrayList<>();
        gateways.forEach(gateway -> threads.add(Thread.startVirtualThread(() -> load(gateway))));
        Thread.sleep(5_000);
        for (int i = 0; i < CYCLES * GATEWAYS; i++) {
            Kit.Gateway gateway = gateways.get(i % GATEWAYS);
            if (trouble) {
                threads.add(Thread.startVirtualThread(() -> restart(gateway)));
            }
            Thread.sleep(GAP_MS);
        }
        Thread.sleep(5_000);
        ended = true;
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(LIMIT_MS);
        kit.record("restarts: " + restarts);
        synchronized (results) {
            kit.record("requests: " + results);
            kit.record("run, and closed without an answer: " + lost.size() + " " + lost);
            System.out.println((lost.isEmpty() ? "held: " : "LOST broken: ") + lost.size()
                    + " orders run and their connection closed without an answer; restarts " + restarts + "; requests "
                    + results);
        }
        return !lost.isEmpty();
    }

    /** Keeps each core busy, so that a process gets about half of one, like the machines of a small deployment. */
    private void shareCores() {
        for (int i = 0; i < Runtime.getRuntime().availableProcessors(); i++) {
            Thread.ofPlatform().daemon().start(() -> {
                while (!ended) {
                    Thread.onSpinWait();
                }
            });
        }
    }

    private void restart(Kit.Gateway gateway) {
        try {
            stoppedAtMs.put(gateway.name, kit.nowMs());
            gateway.signal("TERM");
            gateway.waitForEnd(8_000);
            gateway.start();
            restarts.incrementAndGet();
            stoppedAtMs.remove(gateway.name);
        } catch (Exception e) {
            kit.record("restart of " + gateway.name + " failed: " + e);
        }
    }

    /** Sends requests at random times, as long as some clients have the gateway's address. */
    private void load(Kit.Gateway gateway) {
        while (!ended) {
            try {
                double pauseMs = -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1_000 / REQUESTS_PER_S;
                Thread.sleep((long) pauseMs, (int) (pauseMs % 1 * 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
            long stoppingMs = kit.nowMs() - stoppedAtMs.getOrDefault(gateway.name, kit.nowMs());
            boolean keepsLong = ThreadLocalRandom.current().nextDouble() < LONG_KEEPERS;
            if (stoppingMs <= TTL_MS || (keepsLong && stoppingMs <= 3 * TTL_MS)) {
                String id = "order" + requests.incrementAndGet();
                Thread.startVirtualThread(() -> order(gateway, id));
            }
        }
    }

    private void order(Kit.Gateway gateway, String id) {
        String result;
        boolean sent = false;
        long sentMs = kit.nowMs();
        try (Kit.Conn conn = new Kit.Conn(gateway.front)) {
            conn.socket.setSoTimeout((int) LIMIT_MS);
            conn.send("POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                    + LIMIT_MS + "\r\nContent-Length: 5\r\n\r\n", "order".getBytes());
            sent = true;
            Kit.Head head = conn.readHead();
            conn.readBody(head, 0);
            result = Integer.toString(head.status());
        } catch (SocketTimeoutException e) {
            result = sent ? "time limit reached" : "not connected";
        } catch (Exception e) {
            result = sent ? "closed without an answer" : "not connected";
        }
        boolean wasRun = run.contains(id);
        synchronized (results) {
            results.merge(wasRun ? result + ", run" : result, 1, Integer::sum);
            if (result.equals("closed without an answer") && wasRun) {
                lost.add(id);
                kit.record(id + ", sent to " + gateway.name + " "
                        + (sentMs - stoppedAtMs.getOrDefault(gateway.name, sentMs))
                        + " ms after SIGTERM: run, and its connection closed without an answer after "
                        + (kit.nowMs() - sentMs) + " ms");
            }
        }
    }

    /** A sound server: it reads each request whole, works for a while and answers. */
    private void serve(Kit.Conn conn) throws Exception {
        while (true) {
            Kit.Head head = conn.readHead();
            conn.readBody(head, 0);
            String id = head.header("X-Attempt-Id");
            if (id.isEmpty()) {
                conn.send("HTTP/1.1 200 OK\r\nX-Instance-Id: o1\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                continue;
            }
            if (!head.header("X-Expect-Instance").equals("o1")) {
                conn.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: o1\r\nContent-Length: 0\r\n\r\n",
                        new byte[0]);
                continue;
            }
            run.add(id);
            Thread.sleep(WORK_MS);
            conn.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id
                    + "\r\nContent-Length: 4\r\n\r\n", "done".getBytes());
        }
    }
}
