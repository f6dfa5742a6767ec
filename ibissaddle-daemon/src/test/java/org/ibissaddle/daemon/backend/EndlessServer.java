package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.ibissaddle.id.Address;

/** A server whose response starts with fixed bytes and then repeats a tail until the client closes the connection. */
public final class EndlessServer implements AutoCloseable {
    private static final int TAIL_REPETITIONS = 1_000;

    private final ServerSocket listener;

    /**
     * Starts the server.
     *
     * @param start start of each response
     * @param tail bytes that are repeated after it
     * @throws IOException if the server cannot listen
     */
    public EndlessServer(String start, String tail) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(() -> acceptConnections(start, tail.repeat(TAIL_REPETITIONS)));
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptConnections(String start, String tail) {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept();
                    OutputStream out = socket.getOutputStream()) {
                out.write(start.getBytes(StandardCharsets.ISO_8859_1));
                byte[] tailBytes = tail.getBytes(StandardCharsets.ISO_8859_1);
                while (!socket.isClosed()) {
                    out.write(tailBytes);
                }
            } catch (IOException e) {
                // Expected: the client closes its connection, or the test closes the server.
            }
        }
    }
}
