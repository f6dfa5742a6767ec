package org.ibissaddle.daemon.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.ibissaddle.id.Address;

/** A fake backend server that responds with exact bytes or resets the connection, and records the requests. */
final class FakeBackendServer implements AutoCloseable {
    /** A response that makes the server reset the connection. */
    static final String RESET = "";
    /** A response that makes the server close all its connections and stop listening. */
    static final String CRASH = "crash";
    /** Separates parts of a response that are sent a few milliseconds apart. */
    static final String PAUSE = "\u0001";
    /** At the end of a response, makes the server close the connection after it. */
    static final String CLOSE = "\u0002";

    /** Key of the caller's port in a request, which tells its connection from others. */
    static final String CONNECTION = "connection port";

    private static final long PAUSE_MS = 5;

    private final ServerSocket listener;
    private final String id;
    private final Queue<Map<String, String>> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
    private final AtomicLong endlessBytes = new AtomicLong();
    private final AtomicLong endlessResponses = new AtomicLong();
    private volatile Behavior behavior;
    private final AtomicLong healthChecks = new AtomicLong();
    private final Set<String> checkedConnections = ConcurrentHashMap.newKeySet();
    private volatile String healthHeaders = "";

    /** What happens to the connection after a response. */
    enum ConnectionEnd {
        KEPT,
        CLOSED,
        RESET
    }

    /**
     * How requests are answered; replaced as a whole, so that a request isn't answered in parts of two ways.
     *
     * @param responder returns the exact bytes of a response
     * @param endlessTail repeated after each response until the client closes the connection; empty for none
     * @param intervalMs pause after each line feed, milliseconds
     * @param end what happens to the connection after a response
     */
    private record Behavior(
            Function<Map<String, String>, String> responder, String endlessTail, long intervalMs, ConnectionEnd end) {}

    FakeBackendServer(String id) throws IOException {
        this.id = id;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        respondWith(request -> response(request, "200 OK", "X-Server-Seal: s\r\n", "hello"));
        Thread.ofVirtual().start(this::acceptConnections);
    }

    /** Returns a complete response that echoes the request's id. */
    static String response(Map<String, String> request, String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.get("x-attempt-id") + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    void respondWith(Function<Map<String, String>, String> next) {
        behavior = new Behavior(next, "", 0, ConnectionEnd.KEPT);
    }

    Function<Map<String, String>, String> responder() {
        return behavior.responder();
    }

    /** Responds with exact bytes and ends the connection after each response, except those of health checks. */
    void respondAndEndConnection(Function<Map<String, String>, String> next, ConnectionEnd end) {
        behavior = new Behavior(next, "", 0, end);
    }

    /** Sends the start of a response, then repeats the tail until the client closes the connection. */
    void respondWithoutEnd(Function<Map<String, String>, String> start, String tail) {
        behavior = new Behavior(start, tail, 0, ConnectionEnd.KEPT);
    }

    /** Responds byte for byte as given, with a pause after each line feed. */
    void respondSlowly(Function<Map<String, String>, String> next, long intervalMs) {
        behavior = new Behavior(next, "", intervalMs, ConnectionEnd.KEPT);
    }

    /** Returns the number of responses without end whose connection the client has closed. */
    long closedEndlessResponses() {
        return endlessResponses.get();
    }

    /** Adds headers, each with its line end, to the responses to health checks. */
    void addHealthHeaders(String headers) {
        healthHeaders = headers;
    }

    long healthChecks() {
        return healthChecks.get();
    }

    /** Returns whether a health check came on the connection of a request. */
    boolean hasCheckedHealth(Map<String, String> request) {
        return checkedConnections.contains(request.get(CONNECTION));
    }

    /** Returns the number of bytes sent in responses without end. */
    long endlessBytes() {
        return endlessBytes.get();
    }

    Queue<Map<String, String>> arrivals() {
        return arrivals;
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (SocketException e) {
            // Expected: the test closes the server, or it has crashed.
        } catch (IOException e) {
            throw new UncheckedIOException("fake server cannot accept connections", e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (Map<String, String> request = read(in); request != null; request = read(in)) {
                if (request.get("path").equals("/healthz")) {
                    checkedConnections.add(String.valueOf(socket.getPort()));
                    send(socket, checkHealth(request), 0);
                    continue;
                }
                request.put(CONNECTION, String.valueOf(socket.getPort()));
                arrivals.add(request);
                Behavior current = behavior;
                String answer = current.responder().apply(request);
                if (answer.equals(CRASH)) {
                    crash();
                    return;
                }
                if (answer.equals(RESET)) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                sendParts(socket, answer.replace(CLOSE, ""), current.intervalMs());
                if (answer.endsWith(CLOSE)) {
                    return;
                }
                if (!current.endlessTail().isEmpty()) {
                    sendWithoutEnd(socket, current.endlessTail());
                }
                if (current.end() != ConnectionEnd.KEPT) {
                    socket.setSoLinger(current.end() == ConnectionEnd.RESET, 0);
                    return;
                }
            }
        } catch (IOException e) {
            // Expected: the gateway closes connections that it no longer uses.
        }
    }

    private static void sendParts(Socket socket, String answer, long intervalMs) throws IOException {
        String[] parts = answer.split(PAUSE, -1);
        for (int i = 0; i < parts.length; i++) {
            LockSupport.parkNanos(i == 0 ? 0 : TimeUnit.MILLISECONDS.toNanos(PAUSE_MS));
            send(socket, parts[i], intervalMs);
        }
    }

    private static void send(Socket socket, String answer, long intervalMs) throws IOException {
        if (intervalMs == 0) {
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        for (String line : answer.split("(?<=\n)", -1)) {
            socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(intervalMs));
        }
    }

    private void crash() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void sendWithoutEnd(Socket socket, String endlessTail) throws IOException {
        byte[] tail = endlessTail.getBytes(StandardCharsets.ISO_8859_1);
        try {
            while (true) {
                socket.getOutputStream().write(tail);
                endlessBytes.addAndGet(tail.length);
            }
        } finally {
            endlessResponses.incrementAndGet();
        }
    }

    private String checkHealth(Map<String, String> request) {
        healthChecks.incrementAndGet();
        return response(request, "200 OK", "X-Instance-Id: " + id + "\r\n" + healthHeaders, "");
    }

    private static Map<String, String> read(BufferedReader in) throws IOException {
        String line = in.readLine();
        if (line == null) {
            return null;
        }
        Map<String, String> request = new TreeMap<>();
        request.put("path", line.split(" ", -1)[1]);
        for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
            int colon = header.indexOf(':');
            request.put(
                    header.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(request.getOrDefault("content-length", "0"));
        char[] body = new char[length];
        int read = 0;
        while (read < length) {
            read += in.read(body, read, length - read);
        }
        request.put("body", new String(body));
        return request;
    }
}
