package org.ibissaddle.daemon.backend;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.ibissaddle.id.Address;

/** A server that answers each request without a body with the same bytes, and then keeps or ends the connection. */
final class SingleResponseServer implements AutoCloseable {
    private final ServerSocket listener;
    private final String response;
    private final ConnectionEnd end;

    /** What happens to the connection after a response. */
    enum ConnectionEnd {
        KEPT,
        CLOSED,
        RESET
    }

    SingleResponseServer(String response, ConnectionEnd end) throws IOException {
        this.response = response;
        this.end = end;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::acceptConnections);
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (!line.isEmpty()) {
                        continue;
                    }
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    if (end != ConnectionEnd.KEPT) {
                        break;
                    }
                }
                socket.setSoLinger(end == ConnectionEnd.RESET, 0);
            } catch (IOException e) {
                // Expected: the test closes the server.
            }
        }
    }
}
