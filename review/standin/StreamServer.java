import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a server that answers with a stream of 5 to 15 events, 25 ms apart, and can resume one. */
final class StreamServer implements AutoCloseable {
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int FIRST_EVENT = 101;
    private static final int MEAN_EVENTS = 10;
    private static final int EVENT_GAP_MS = 25;
    private static final int SPOILED_EVENT = 104;

    /** Place of the second digit of an event's id, and the bit that is wrong in it. */
    private static final int WRONG_BYTE = 5;

    private static final byte WRONG_BIT = 0x20;

    private final Record record;
    private final Store store;
    private final String service;
    private final int port = Http.freePort();
    private final String id = "i-" + port;
    private final long born = System.currentTimeMillis();
    private final ServerSocket listener = new ServerSocket();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger spoiled = new AtomicInteger();
    private volatile double spoiledShare;

    StreamServer(Record record, Store store, String service) throws IOException {
        this.record = record;
        this.store = store;
        this.service = service;
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        Thread.ofVirtual().start(this::accept);
        publish("ready");
        record.line("server %s of %s starts", id, service);
    }

    private void publish(String state) {
        store.put("servers/" + id, ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\","
                        + "\"version\":\"1\",\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,\"seq\":1,\"born\":%d}")
                .formatted(service, port, SLOTS, state, born));
    }

    /** Reports that this server will leave; it goes on serving until {@link #leave()}. */
    void drain() {
        publish("draining");
        record.line("server %s drains", id);
    }

    void leave() {
        close();
        store.remove("servers/" + id);
        record.line("server %s leaves", id);
    }

    /** Sets the share of answers in which one bit of an event's id is wrong, and which are broken off after it. */
    void spoil(double share) {
        spoiledShare = share;
    }

    int spoiled() {
        return spoiled.get();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            for (Http.Message request = Http.read(connection.getInputStream(), false);
                    request != null;
                    request = Http.read(connection.getInputStream(), false)) {
                if (!answer(request, connection)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other end has closed the connection.
        }
    }

    private boolean answer(Http.Message request, Socket connection) throws IOException {
        OutputStream out = connection.getOutputStream();
        String attempt = request.header("X-Attempt-Id");
        String load = "X-Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
        String expected = request.header("X-Expect-Instance");
        if (request.target().equals("/healthz")) {
            awaitSlot();
            out.write(text("200 OK", "X-Instance-Id: " + id + "\r\n" + load));
            return true;
        }
        if (!expected.isEmpty() && !expected.equals(id)) {
            out.write(text("421 Misdirected Request", "X-Instance-Id: " + id + "\r\n"));
            return true;
        }
        if (attempt.isEmpty()) {
            out.write(text("400 Bad Request", "X-Not-Executed: 1\r\n"));
            return true;
        }
        if (running.get() >= SLOTS + QUEUE) {
            out.write(text("503 Service Unavailable", "X-Not-Executed: 1\r\nX-Attempt-Id: " + attempt + "\r\n" + load));
            return true;
        }
        running.incrementAndGet();
        try {
            return stream(request, attempt, load, connection, out);
        } finally {
            running.decrementAndGet();
        }
    }

    private boolean stream(Http.Message request, String attempt, String load, Socket connection, OutputStream out)
            throws IOException {
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? FIRST_EVENT : Integer.parseInt(last) + 1;
        int lastEvent = FIRST_EVENT + MEAN_EVENTS / 2 + Math.floorMod(attempt.hashCode() * 31, MEAN_EVENTS);
        boolean spoil = ThreadLocalRandom.current().nextDouble() < spoiledShare;
        out.write(("HTTP/1.1 200 OK\r\nX-Server-Seal: " + id + "." + attempt + "\r\nX-Attempt-Id: " + attempt + "\r\n"
                        + load + "X-Service: " + service
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = first; event <= lastEvent; event++) {
            boolean wrong = spoil && event == SPOILED_EVENT;
            byte[] bytes = ("id: " + event + "\ndata: " + attempt + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
            if (wrong) {
                bytes[WRONG_BYTE] ^= WRONG_BIT;
            }
            out.write(Http.join(Integer.toHexString(bytes.length) + "\r\n", bytes));
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            if (wrong) {
                spoiled.incrementAndGet();
                record.line("server %s spoils an event of %s and breaks off", id, attempt);
                pause();
                connection.setSoLinger(true, 0);
                return false;
            }
            pause();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    /** A health check waits for a slot like any other request. */
    private void awaitSlot() {
        while (running.get() >= SLOTS) {
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(EVENT_GAP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] text(String status, String headers) {
        return ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            record.line("server %s: %s", id, e);
        }
    }
}
