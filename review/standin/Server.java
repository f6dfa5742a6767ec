import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** A stand-in of a server of a plain service. Each start is a new boot with a new id at the same address. */
final class Server implements AutoCloseable {
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;

    /** What the case wants to know of the requests that arrive. */
    interface Observer {
        void arrived(Server server, Http.Message request);
    }

    private final Record record;
    private final Store store;
    private final String service;
    private final String zone;
    private final int port;
    private final long workMs;
    private final Observer observer;
    private final AtomicInteger boots = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile Predicate<Http.Message> crashesOn = request -> false;
    private volatile ServerSocket listener;
    private volatile String id = "";

    Server(Record record, Store store, String service, String zone, long workMs, Observer observer) {
        this.record = record;
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.workMs = workMs;
        this.observer = observer;
        this.port = Http.freePort();
    }

    String id() {
        return id;
    }

    void crashOn(Predicate<Http.Message> request) {
        crashesOn = request;
    }

    /** Starts a new boot and registers it. */
    synchronized void start() throws IOException {
        id = "i-" + port + "-" + boots.incrementAndGet();
        running.set(0);
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        listener = socket;
        Thread.ofVirtual().start(() -> accept(socket));
        store.put("servers/" + id, entry("ready"));
        record.line("server %s starts at 127.0.0.1:%d", id, port);
    }

    String entry(String state) {
        return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"1\",\"slots\":%d,"
                        + "\"state\":\"%s\",\"coldLeftMs\":0,\"seq\":1,\"born\":%d}")
                .formatted(service, port, zone, SLOTS, state, System.currentTimeMillis());
    }

    /** Ends the process at once; the entry lapses after three heartbeats of 1.2 s, and the next boot comes after 3 s. */
    private synchronized void crash(String boot) {
        if (!boot.equals(id) || listener.isClosed()) {
            return;
        }
        record.line("server %s crashes", boot);
        close();
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(3_000);
                start();
                Thread.sleep(600);
                store.remove("servers/" + boot);
            } catch (IOException | InterruptedException e) {
                record.line("server %s can't start again: %s", boot, e);
            }
        });
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection, id));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection, String boot) {
        try (connection) {
            for (Http.Message request = Http.read(connection.getInputStream(), false);
                    request != null && boot.equals(id);
                    request = Http.read(connection.getInputStream(), false)) {
                byte[] answer = answer(request, boot);
                if (!boot.equals(id)) {
                    return;
                }
                connection.getOutputStream().write(answer);
            }
        } catch (IOException e) {
            // The other end has closed the connection, or this server has crashed.
        } finally {
            connections.remove(connection);
        }
    }

    private byte[] answer(Http.Message request, String boot) throws IOException {
        String attempt = request.header("X-Attempt-Id");
        String load = "X-Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
        if (request.target().equals("/healthz")) {
            return response("200 OK", "X-Instance-Id: " + boot + "\r\n" + load, "ok");
        }
        observer.arrived(this, request);
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(boot)) {
            return response("421 Misdirected Request", "X-Instance-Id: " + boot + "\r\n", "");
        }
        if (attempt.isEmpty()) {
            return response("400 Bad Request", "X-Not-Executed: 1\r\n", "");
        }
        String echo = "X-Attempt-Id: " + attempt + "\r\n" + load;
        if (running.get() >= SLOTS + QUEUE) {
            return response("503 Service Unavailable", "X-Not-Executed: 1\r\n" + echo, "");
        }
        running.incrementAndGet();
        record.line("server %s runs %s %s", boot, attempt, request.target());
        if (crashesOn.test(request)) {
            crash(boot);
            return new byte[0];
        }
        try {
            Thread.sleep(workMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        running.decrementAndGet();
        return response("200 OK", "X-Server-Seal: " + boot + "." + attempt + "\r\n" + echo, "answer to " + attempt);
    }

    private static byte[] response(String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\n" + headers + "Keep-Alive: timeout=5\r\nContent-Length: "
                + bytes.length + "\r\n\r\n";
        return Http.join(head, bytes);
    }

    /** Closes the listener and resets all connections. */
    @Override
    public void close() {
        String ended = id;
        id = ended + "-ended";
        try {
            if (listener != null) {
                listener.close();
            }
        } catch (IOException e) {
            record.line("server %s: %s", ended, e);
        }
        for (Socket connection : connections) {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }
}
