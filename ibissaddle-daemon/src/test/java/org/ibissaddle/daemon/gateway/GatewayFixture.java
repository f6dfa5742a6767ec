package org.ibissaddle.daemon.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.standins.Ports;

/** Starts gateways in the regions north, south and east, and calls them with exact bytes. */
final class GatewayFixture {
    private static final Map<Zone, Region> ZONES = Map.of(
            new Zone("north-a"), new Region("north"),
            new Zone("south-a"), new Region("south"),
            new Zone("east-a"), new Region("east"));
    private static final GatewaySettings.PlatformLimits LIMITS =
            new GatewaySettings.PlatformLimits(0.2, 10_000, 1_000, 4_000, 5, GatewaySettings.Revocation.DEFAULT);

    private GatewayFixture() {}

    /** Starts an instance in the zone {@code REGION-a}, whose directory also serves its readiness check. */
    static Gateway start(
            String region, Address caller, Address directory, Address peer, List<Address> seeds, Address store)
            throws IOException {
        return start(settings(region + "-1", region, caller, directory, peer, seeds, store));
    }

    static Gateway start(GatewaySettings settings) throws IOException {
        return Gateway.start(
                settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), OutputStream.nullOutputStream());
    }

    static GatewaySettings settings(
            String name,
            String region,
            Address caller,
            Address directory,
            Address peer,
            List<Address> seeds,
            Address store) {
        return settings(name, region, caller, directory, peer, seeds, store, LIMITS);
    }

    static GatewaySettings settings(
            String name,
            String region,
            Address caller,
            Address directory,
            Address peer,
            List<Address> seeds,
            Address store,
            GatewaySettings.PlatformLimits limits) {
        return new GatewaySettings(
                new InstanceId(name),
                new Region(region),
                new Zone(region + "-a"),
                ZONES,
                caller,
                directory,
                directory,
                peer,
                0,
                store,
                seeds,
                limits);
    }

    /** Waits until the readiness check of an instance answers with a status. */
    static void awaitReadiness(Address directory, int status) throws IOException {
        while (!exchange(directory, "GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 " + status)) {
            Thread.onSpinWait();
        }
    }

    /** Returns the entry of a server of the service ledger in the zone north-a that is ready. */
    static String entry(Address server) {
        return "{\"service\":\"ledger\",\"address\":\"" + server
                + "\",\"zone\":\"north-a\",\"slots\":60,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}";
    }

    static Address freeAddress() throws IOException {
        return new Address("127.0.0.1", Ports.allocate("127.0.0.1"));
    }

    /** Sends a request with the id 7 and returns the response, which ends with "(reset)" after a connection reset. */
    static String call(Address caller, String method, String path, String headers, String body) throws IOException {
        return exchange(
                caller,
                method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 7\r\nConnection: close\r\n"
                        + headers + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                        + body);
    }

    static String exchange(Address to, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), to.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readAll(socket.getInputStream());
        }
    }

    static String readAll(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (SocketException e) {
            return text + "(reset)";
        }
        return text.toString();
    }
}
