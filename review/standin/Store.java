import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/** A stand-in of the platform's store: lists, watches, and writes by the operator and the servers. */
final class Store implements AutoCloseable {
    private final ServerSocket listener;
    private final Map<String, String> items = new TreeMap<>();
    private final List<String[]> history = new ArrayList<>();
    private long revision = 100;
    /** After how many milliseconds a waiting watch is cut; 0 for never. */
    private volatile LongSupplier cutWatchesAfterMs = () -> 0;

    private volatile int cutWatches;

    Store() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void cutWatchesAfter(LongSupplier ms) {
        cutWatchesAfterMs = ms;
    }

    int cutWatches() {
        return cutWatches;
    }

    /** Writes an item; the return is the ack. */
    synchronized void put(String key, byte[] value) {
        String encoded = Base64.getEncoder().encodeToString(value);
        revision++;
        String item = "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
                .formatted(key, encoded, revision, revision);
        items.put(key, item);
        history.add(new String[] {Long.toString(revision), item});
        notifyAll();
    }

    void put(String key, String json) {
        put(key, json.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new String[] {
                Long.toString(revision), "{\"key\":\"%s\",\"revision\":%d,\"removed\":true}".formatted(key, revision)
            });
            notifyAll();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (Http.Message request = Http.read(socket.getInputStream(), false);
                    request != null;
                    request = Http.read(socket.getInputStream(), false)) {
                String body = request.target().startsWith("/kv-watch") ? watch(request.target()) : list();
                if (body == null) {
                    return;
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                        + "\r\n\r\n";
                socket.getOutputStream().write(Http.join(head, bytes));
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        }
    }

    private synchronized String list() {
        return "{\"items\":[%s],\"hasMore\":false,\"at\":%d}".formatted(String.join(",", items.values()), revision);
    }

    /** Returns the events after a revision, or null if the waiting call is cut. */
    private synchronized String watch(String target) {
        long after = Long.parseLong(target.replaceAll(".*after=(\\d+).*", "$1"));
        long waitMs = Long.parseLong(target.replaceAll(".*waitMs=(\\d+).*", "$1"));
        long startNs = System.nanoTime();
        long cutMs = cutWatchesAfterMs.getAsLong();
        while (events(after).isEmpty()) {
            long waitedMs = (System.nanoTime() - startNs) / 1_000_000;
            if (waitedMs >= waitMs) {
                break;
            }
            if (cutMs > 0 && waitedMs >= cutMs) {
                cutWatches++;
                return null;
            }
            try {
                wait(Math.min(20, waitMs - waitedMs));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
        return "{\"events\":[%s],\"at\":%d}".formatted(events(after), revision);
    }

    private String events(long after) {
        return history.stream()
                .filter(event -> Long.parseLong(event[0]) > after)
                .map(event -> event[1])
                .collect(Collectors.joining(","));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
