package org.ibissaddle.proof.gateway;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.platform.PlatformHeaders;

/**
 * A stand-in of a backend server that answers in any framing, answers some requests twice, the second time late,
 * rejects some, and crashes.
 */
final class StutteringServer implements AutoCloseable {
    static final int EVENTS = 6;
    private static final int QUEUE = 24;

    private final String service;
    private final String zone;
    private final int slots;
    private final int port;
    private final MetadataStore store;
    private final SoakAudit audit;
    private final AtomicInteger running = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile Behavior behavior = new Behavior(0, 0, 0);
    private volatile ServerSocket listener;
    private volatile String id = "";
    private int starts;

    /**
     * How requests are answered.
     *
     * @param rejected share of requests that are rejected
     * @param repeated share of answers that are sent twice
     * @param unframed share of answers without a length
     */
    record Behavior(double rejected, double repeated, double unframed) {}

    StutteringServer(String service, String zone, int slots, int port, MetadataStore store, SoakAudit audit) {
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.port = port;
        this.store = store;
        this.audit = audit;
    }

    /** Returns the answer to a request: the same bytes at each server. */
    static String answerTo(String request, boolean stream) {
        StringBuilder text = new StringBuilder();
        if (!stream) {
            return text.append("answer to ")
                    .append(request)
                    .append(' ')
                    .append("x".repeat(Math.floorMod(request.hashCode(), 3_000)))
                    .append(" end of ")
                    .append(request)
                    .toString();
        }
        for (int i = 1; i <= EVENTS; i++) {
            text.append(event(request, i));
        }
        return text.toString();
    }

    private static String event(String request, int number) {
        return "id: " + number + "\ndata: " + request + " " + number + "\n\n";
    }

    String service() {
        return service;
    }

    void behave(Behavior next) {
        behavior = next;
    }

    synchronized void start() throws IOException {
        id = service + "-" + port + "-" + ++starts;
        running.set(0);
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        listener = socket;
        Thread.ofVirtual().start(() -> accept(socket, id));
        store.put(
                "servers/" + id,
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}"
                        .formatted(service, port, zone, slots));
    }

    /** Resets all connections and stops to listen. The entry of the server stays until {@link #forgetCrash}. */
    synchronized String crash() throws IOException {
        String crashed = id;
        id = "";
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        connections.clear();
        return crashed;
    }

    void forgetCrash(String crashed) {
        store.remove("servers/" + crashed);
    }

    private void accept(ServerSocket socket, String boot) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection, boot));
            } catch (IOException e) {
                // Expected: the server has crashed or was closed.
                return;
            }
        }
    }

    private void serve(Socket connection, String boot) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (Map<String, String> request = read(in); request != null; request = read(in)) {
                if (request.get("").contains("/healthz")) {
                    send(
                            connection,
                            "HTTP/1.1 200 OK\r\n" + PlatformHeaders.SERVER_ID + ": " + boot
                                    + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!handle(connection, request, boot)) {
                    return;
                }
            }
        } catch (IOException e) {
            // Expected: the gateway has closed the connection, or this server has crashed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    /** Answers a request. Returns whether the connection stays open. */
    private boolean handle(Socket connection, Map<String, String> request, String boot)
            throws IOException, InterruptedException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Behavior current = behavior;
        String requestId = request.getOrDefault(PlatformHeaders.REQUEST_ID.toLowerCase(java.util.Locale.ROOT), "");
        String headers = PlatformHeaders.REQUEST_ID + ": " + requestId + "\r\n" + PlatformHeaders.SERVER_LOAD + ": "
                + running.get() + ",0," + slots + "\r\n";
        audit.arrived(service, requestId);
        String expected = request.get(PlatformHeaders.EXPECTED_SERVER.toLowerCase(java.util.Locale.ROOT));
        boolean misdirected = expected != null && !expected.equals(boot);
        if (misdirected || running.get() >= slots + QUEUE || random.nextDouble() < current.rejected()) {
            String status = misdirected ? "421 Misdirected Request" : "503 Service Unavailable";
            String refusal = "HTTP/1.1 " + status + "\r\n" + headers + PlatformHeaders.NOT_RUN + ": 1\r\n"
                    + "Content-Length: 0\r\n\r\n";
            send(connection, refusal);
            return repeatLater(connection, refusal, random.nextDouble() < current.repeated());
        }
        running.incrementAndGet();
        audit.executed(requestId);
        try {
            Thread.sleep(10 + random.nextInt(30));
            boolean stream = request.get("").startsWith("POST /stream");
            headers += PlatformHeaders.SIGNATURE + ": " + boot + "." + requestId + "\r\nContent-Type: "
                    + (stream ? "text/event-stream" : "text/plain") + "\r\n";
            boolean unframed = random.nextDouble() < current.unframed();
            boolean repeated = random.nextDouble() < current.repeated();
            synchronized (connection) {
                String answer = write(connection, headers, request, requestId, stream, unframed);
                if (!unframed) {
                    return repeatLater(connection, answer, repeated);
                }
                if (repeated) {
                    Thread.sleep(random.nextInt(3));
                    send(connection, answer);
                }
                connection.close();
                return false;
            }
        } finally {
            running.decrementAndGet();
        }
    }

    private String write(
            Socket connection, String headers, Map<String, String> request, String id, boolean stream, boolean unframed)
            throws IOException, InterruptedException {
        boolean chunked = !unframed && (stream || ThreadLocalRandom.current().nextBoolean());
        String body = answerTo(id, stream);
        StringBuilder sent = new StringBuilder("HTTP/1.1 200 OK\r\n").append(headers);
        if (unframed) {
            sent.append("Connection: close\r\n\r\n");
        } else if (chunked) {
            sent.append("Transfer-Encoding: chunked\r\n\r\n");
        } else {
            sent.append("Content-Length: ").append(body.length()).append("\r\n\r\n");
        }
        send(connection, sent.toString());
        int from = Integer.parseInt(
                request.getOrDefault(PlatformHeaders.LAST_EVENT_ID.toLowerCase(java.util.Locale.ROOT), "0"));
        int parts = stream ? EVENTS : 1;
        for (int i = from + 1; i <= parts; i++) {
            String part = stream ? event(id, i) : body;
            String piece = chunked ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part;
            send(connection, piece);
            sent.append(piece);
            Thread.sleep(stream ? 5 : 0);
        }
        if (chunked) {
            send(connection, "0\r\n\r\n");
            sent.append("0\r\n\r\n");
        }
        return sent.toString();
    }

    /** Sends a copy of an answer when the connection may be in use again. Returns whether the connection stays open. */
    private static boolean repeatLater(Socket connection, String answer, boolean repeated) {
        if (repeated) {
            Thread.ofVirtual().start(() -> {
                try {
                    Thread.sleep(ThreadLocalRandom.current().nextInt(60));
                    send(connection, answer);
                } catch (IOException e) {
                    // Expected: the connection is closed.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        return true;
    }

    /** Sends a whole response, or a part of one while the connection is locked: second answers come between others. */
    private static void send(Socket connection, String text) throws IOException {
        synchronized (connection) {
            connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Reads a request and returns its first line, under the empty name, and its headers; null at the end. */
    private static Map<String, String> read(InputStream in) throws IOException {
        Map<String, String> request = new TreeMap<>();
        String first = readLine(in);
        if (first.isEmpty()) {
            return null;
        }
        request.put("", first);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            request.put(
                    line.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        skip(in, Integer.parseInt(request.getOrDefault("content-length", "0")));
        if (request.containsKey("transfer-encoding")) {
            for (int size = -1; size != 0; ) {
                size = Integer.parseInt(readLine(in), 16);
                skip(in, size + 2);
            }
        }
        return request;
    }

    private static void skip(InputStream in, int bytes) throws IOException {
        if (in.readNBytes(bytes).length < bytes) {
            throw new EOFException("the connection ended inside a body");
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        if (!id.isEmpty()) {
            crash();
        }
    }
}
