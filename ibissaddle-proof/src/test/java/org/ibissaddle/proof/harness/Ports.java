package org.ibissaddle.proof.harness;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out ports for processes that are started again at the same address. They lie below the range from which the
 * system takes the ports of outgoing connections, so that none of those can hold one while a process is down.
 */
public final class Ports {
    private static final int FIRST = 20_000;
    private static final int LAST = 32_000;
    private static final AtomicInteger NEXT = new AtomicInteger(FIRST);

    private Ports() {}

    /** Returns a port that nobody listens on and that was not handed out before. */
    public static int free(String ip) throws IOException {
        for (int port = NEXT.getAndIncrement(); port < LAST; port = NEXT.getAndIncrement()) {
            if (isFree(ip, port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST + " to " + LAST + " is free at " + ip);
    }

    private static boolean isFree(String ip, int port) throws IOException {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return probe.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
