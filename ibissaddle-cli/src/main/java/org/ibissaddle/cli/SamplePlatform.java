package org.ibissaddle.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Zone;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.platform.SampleMessages;

/** Loopback server that returns canned store and engine responses for the training run. */
final class SamplePlatform implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final String CONTENT_LENGTH_PREFIX = "content-length:";
    private static final String REQUEST_ID_PREFIX = PlatformHeaders.REQUEST_ID.toLowerCase(Locale.ROOT) + ":";

    private final ServerSocket listener;
    private final Zone zone;

    SamplePlatform(Zone zone) throws IOException {
        this.zone = zone;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread.ofPlatform().daemon().name("sample-platform").start(this::accept);
    }

    Address address() {
        return new Address(listener.getInetAddress().getHostAddress(), listener.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException e) {
                // The listener was closed at the end of the run.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket;
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String target = line.split(" ", -1)[1];
                Optional<String> answer = SampleMessages.responseTo(target, readRequestId(in), address(), zone);
                if (answer.isEmpty()) {
                    continue;
                }
                socket.getOutputStream().write(answer.get().getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The gateway closed the connection.
        }
    }

    /** Reads the headers and skips the body of a request; returns the request id. */
    private static String readRequestId(BufferedReader in) throws IOException {
        String id = "";
        long length = 0;
        for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
            String lowerCase = header.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith(CONTENT_LENGTH_PREFIX)) {
                length = Long.parseLong(
                        header.substring(CONTENT_LENGTH_PREFIX.length()).trim());
            }
            if (lowerCase.startsWith(REQUEST_ID_PREFIX)) {
                id = header.substring(REQUEST_ID_PREFIX.length()).trim();
            }
        }
        for (long i = 0; i < length; i++) {
            in.read();
        }
        return id;
    }
}
