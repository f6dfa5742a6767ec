import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound plain server: it runs what is meant for it, and reports itself in the store. */
final class Server {
    /** Writes something else in place of the answer to a request that has run; false if the answer is sent. */
    interface Spoiler {
        boolean spoil(Server server, Http.Message request, OutputStream out) throws IOException;
    }

    interface OnRun {
        void run(Server server, Http.Message request, long atMs);
    }

    private static final long HEARTBEAT_MS = 1_200;

    final String id;
    final String service;
    private final String zone;
    private final String address;
    private final int slots;
    private final long workMs;
    private final long born = System.currentTimeMillis();
    private final OnRun onRun;
    private final AtomicInteger running = new AtomicInteger();
    private final ServerSocket listener;
    private int seq;
    /** Status of a whole answer to POST. */
    volatile int postStatus = 200;
    volatile Spoiler spoiler = (server, request, out) -> false;

    Server(String id, String service, String zone, String host, int port, int slots, long workMs, OnRun onRun)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.address = host + ":" + port;
        this.slots = slots;
        this.workMs = workMs;
        this.onRun = onRun;
        this.listener = Http.serve(host, port, this::handle);
    }

    /** Writes the entry now and at each heartbeat. */
    void register(Store store) {
        report(store);
        Thread.ofVirtual().start(() -> {
            try {
                while (!listener.isClosed()) {
                    Thread.sleep(HEARTBEAT_MS);
                    report(store);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void report(Store store) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":"
                        + (++seq) + ",\"born\":" + born + "}");
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        List<String> headers = new ArrayList<>();
        headers.add("X-Instance-Id: " + id);
        headers.add("X-Server-Load: " + running.get() + ",0," + slots);
        if (request.target().startsWith("/healthz")) {
            Http.answer(out, 200, headers, "");
            return true;
        }
        String attempt = request.header("X-Attempt-Id");
        if (attempt == null) {
            Http.answer(out, 400, with(headers, "X-Not-Executed: 1"), "");
            return true;
        }
        headers.add("X-Attempt-Id: " + attempt);
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(out, 421, headers, "");
            return true;
        }
        if (running.get() >= slots) {
            Http.answer(out, 503, with(headers, "X-Not-Executed: 1"), "");
            return true;
        }
        running.incrementAndGet();
        try {
            onRun.run(this, request, System.currentTimeMillis());
            Thread.sleep(workMs);
        } finally {
            running.decrementAndGet();
        }
        if (spoiler.spoil(this, request, out)) {
            return true;
        }
        int status = request.method().equals("POST") ? postStatus : 200;
        Http.answer(out, status, with(headers, "X-Server-Seal: " + id + "." + attempt), "done by " + id);
        return true;
    }

    private static List<String> with(List<String> headers, String more) {
        List<String> all = new ArrayList<>(headers);
        all.add(more);
        return all;
    }
}
