import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports that are free on several loopback addresses. */
final class Ports {
    private Ports() {}

    /** Returns a number so that the given count of ports from it on is free on all hosts. */
    static int freeBase(List<String> hosts, int count) {
        for (int i = 0; i < 200; i++) {
            int base = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (isFree(hosts, base, count)) {
                return base;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean isFree(List<String> hosts, int base, int count) {
        for (String host : hosts) {
            for (int port = base; port < base + count; port++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }
}
