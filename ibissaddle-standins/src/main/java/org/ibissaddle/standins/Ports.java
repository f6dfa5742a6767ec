package org.ibissaddle.standins;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Allocates listening ports for processes that restart at the same address. The ports lie below the ephemeral range of
 * the operating system, so that no outgoing connection can occupy one while a process is down.
 */
public final class Ports {
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int PORT_COUNT = LAST_PORT - FIRST_PORT;
    /** Distance between the first ports of processes with consecutive ids, which often run at the same time. */
    private static final int PORTS_PER_PROCESS = 500;

    private static final AtomicLong NEXT_INDEX =
            new AtomicLong(ProcessHandle.current().pid() * PORTS_PER_PROCESS);

    private Ports() {}

    /**
     * Returns a port that is not in use. The same port is not returned again before all others.
     *
     * @param ip IP address on which the process will listen
     * @return the port
     * @throws IOException if the address is not a local one, or all ports are in use
     */
    public static int allocate(String ip) throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + (int) (NEXT_INDEX.getAndIncrement() % PORT_COUNT);
            if (isAvailable(ip, port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST_PORT + " to " + (LAST_PORT - 1) + " is available on " + ip);
    }

    private static boolean isAvailable(String ip, int port) throws IOException {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return probe.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
