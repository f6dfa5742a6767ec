package org.ibissaddle.daemon.backend;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.ibissaddle.id.Address;

/** A server that answers each request without a body with the same bytes and then closes or resets the connection. */
final class SingleResponseServer implements AutoCloseable {
    private final ServerSocket listener;
    private final String response;
    private final boolean reset;

    SingleResponseServer(String response, boolean reset) throws IOException {
        this.response = response;
        this.reset = reset;
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
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                socket.setSoLinger(reset, 0);
            } catch (IOException e) {
                // Expected: the test closes the server.
            }
        }
    }
}
