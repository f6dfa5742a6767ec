package org.ibissaddle.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ibissaddle.id.Address;

/** A server that responds with exact bytes as soon as it has read the head of a request, before its body. */
public final class EarlyResponseServer implements AutoCloseable {
    /** Much smaller than an upload, so that its sender is still writing when the connection ends. */
    private static final int RECEIVE_BUFFER_BYTES = 8_192;

    private static final long LATE_MS = 50;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: *(\\d+)");

    private final ServerSocket listener = new ServerSocket();
    private final String id;
    private final String response;
    private final Ending ending;

    /** How the connection ends after the response. */
    public enum Ending {
        RESET_AT_ONCE,
        RESET_LATE,
        CLOSED_AFTER_REQUEST
    }

    /**
     * Starts a server on a port of its own.
     *
     * @param id its id, in the responses to health checks
     * @param response the response to all other requests
     * @param ending how the connection ends after the response
     * @throws IOException if no port is free
     */
    public EarlyResponseServer(String id, String response, Ending ending) throws IOException {
        this.id = id;
        this.response = response;
        this.ending = ending;
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread.ofVirtual().start(this::acceptConnections);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address
     */
    public Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                // Expected: the test closes the server.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String head = readHead(in);
            while (head.startsWith("GET /healthz")) {
                write(socket, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                head = readHead(in);
            }
            write(socket, response);
            if (ending == Ending.CLOSED_AFTER_REQUEST) {
                in.skipNBytes(contentLength(head));
                return;
            }
            LockSupport.parkNanos(ending == Ending.RESET_LATE ? TimeUnit.MILLISECONDS.toNanos(LATE_MS) : 0);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // Expected: the client closes connections that it no longer uses.
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection closed inside a request head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static long contentLength(String head) {
        Matcher length = LENGTH.matcher(head);
        return length.find() ? Long.parseLong(length.group(1)) : 0;
    }
}
