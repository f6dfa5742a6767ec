package org.ibissaddle.proof.harness;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates listening ports for processes that restart at the same address. The ports lie below the ephemeral range of
 * the operating system, so that no outgoing connection can occupy one while a process is down.
 */
public final class Ports {
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

    private Ports() {}

    /** Returns a port that is not in use and that this class has not returned before. */
    public static int allocate(String ip) throws IOException {
        for (int port = NEXT_PORT.getAndIncrement(); port < LAST_PORT; port = NEXT_PORT.getAndIncrement()) {
            if (isAvailable(ip, port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST_PORT + " to " + LAST_PORT + " is available on " + ip);
    }

    private static boolean isAvailable(String ip, int port) throws IOException {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return probe.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
