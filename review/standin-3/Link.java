import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The link to one address of another region. It listens on an alias of that address and passes on what it gets, until it
 * is cut: then it resets what is open and refuses what is new. Addresses that the gateways tell each other are replaced
 * by their aliases on the way, as by an address translation between two networks; an address and its alias have the
 * same length.
 */
final class Link {
    private final String aliasHost;
    private final int port;
    private final String realHost;
    private final Map<String, String> toServer;
    private final Map<String, String> toClient;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private volatile boolean silent;

    Link(String aliasHost, int port, String realHost, Map<String, String> toServer, Map<String, String> toClient)
            throws IOException {
        this.aliasHost = aliasHost;
        this.port = port;
        this.realHost = realHost;
        this.toServer = toServer;
        this.toClient = toClient;
        heal();
    }

    synchronized void heal() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(aliasHost), port), 256);
        ServerSocket current = listener;
        Thread.ofVirtual().start(() -> {
            while (!current.isClosed()) {
                try {
                    Socket client = current.accept();
                    Thread.ofVirtual().start(() -> connect(client));
                } catch (IOException e) {
                    // The link was cut.
                }
            }
        });
    }

    synchronized void cut() throws IOException {
        listener.close();
        for (Socket socket : open) {
            reset(socket);
        }
        open.clear();
    }

    /** Lets nothing through any more, without a reset; what is sent meanwhile is lost with its connection. */
    void silence() {
        silent = true;
    }

    /** Ends the silence; the connections of before are reset. */
    void restore() {
        silent = false;
        for (Socket socket : open) {
            reset(socket);
        }
        open.clear();
    }

    private void connect(Socket client) {
        try {
            if (silent) {
                open.add(client);
                return;
            }
            Socket server = new Socket();
            server.connect(new InetSocketAddress(InetAddress.getByName(realHost), port), 1000);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            open.add(client);
            open.add(server);
            Thread.ofVirtual().start(() -> pass(client, server, toServer));
            pass(server, client, toClient);
        } catch (IOException e) {
            reset(client);
        }
    }

    private void pass(Socket from, Socket to, Map<String, String> replaced) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            StringBuilder held = new StringBuilder();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (silent) {
                    continue;
                }
                held.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
                String text = held.toString();
                for (Map.Entry<String, String> entry : replaced.entrySet()) {
                    text = text.replace(entry.getKey(), entry.getValue());
                }
                int keep = 0;
                for (String pattern : replaced.keySet()) {
                    for (int n = 1; n < pattern.length(); n++) {
                        keep = text.endsWith(pattern.substring(0, n)) ? Math.max(keep, n) : keep;
                    }
                }
                out.write(text.substring(0, text.length() - keep).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                held.setLength(0);
                held.append(text.substring(text.length() - keep));
            }
        } catch (IOException e) {
            // One side has left.
        }
        reset(from);
        reset(to);
        open.remove(from);
        open.remove(to);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
