import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the review scripts: the platform's store, HTTP/1.1 messages over plain sockets, and gateway processes
 * that run with the command of deploy/system.toml. All addresses are loopback addresses.
 */
final class Kit implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";

    private final Path folder;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Gateway> gateways = new ArrayList<>();
    private boolean closed;
    final Store store;

    Kit(String recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        store = new Store();
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Writes a line to record.txt. */
    synchronized void record(String text) {
        record.printf("%7.3f %s%n", nowMs() / 1000.0, text);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a gateway in a zone, which is also the name of its region. */
    Gateway startGateway(String name, String zone, List<String> zones, Map<String, Object> bounds) throws Exception {
        Gateway gateway = new Gateway(name, zone, zones, bounds);
        gateways.add(gateway);
        gateway.start();
        return gateway;
    }

    /** Kills all gateways; none starts afterwards. */
    void killAll() {
        synchronized (gateways) {
            closed = true;
        }
        gateways.forEach(Gateway::kill);
    }

    @Override
    public void close() {
        killAll();
        record.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("temporary folder not removed: " + e);
        }
    }

    /** A gateway process. */
    final class Gateway {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int directory = freePort();
        final int control = freePort();
        final int metrics = freePort();
        private final Path settings;
        private Process process;

        Gateway(String name, String zone, List<String> zones, Map<String, Object> bounds) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".ini");
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("retry-ratio", 0.2);
            all.put("retry-window-s", 10);
            all.put("retry-slack", 56);
            all.put("stop-grace-s", 8);
            all.put("directory-ttl-s", 5);
            all.putAll(bounds);
            List<String> lines = new ArrayList<>();
            lines.add("[instance]");
            lines.add("name = " + name);
            lines.add("region = " + zone);
            lines.add("zone = " + zone);
            lines.add("zones = " + String.join(",", zones.stream().map(z -> z + ":" + z).toList()));
            lines.add("[gateway]");
            lines.add("caller-address = " + LOOPBACK + ":" + front);
            lines.add("readiness-address = " + LOOPBACK + ":" + ready);
            lines.add("directory-address = " + LOOPBACK + ":" + directory);
            lines.add("peer-address = " + LOOPBACK + ":" + control);
            lines.add("metrics-port = " + metrics);
            lines.add("[platform]");
            lines.add("store-address = " + LOOPBACK + ":" + store.port());
            lines.add("[peers]");
            StringBuilder seeds = new StringBuilder(LOOPBACK + ":" + control);
            for (Gateway other : gateways.subList(0, Math.min(2, gateways.size()))) {
                seeds.append(',').append(LOOPBACK).append(':').append(other.control);
            }
            lines.add("seeds = " + seeds);
            lines.add("[bounds]");
            all.forEach((key, value) -> lines.add(key + " = " + value));
            Files.write(settings, lines);
        }

        /** Runs the command of the deploy file with these settings and waits until the process is ready. */
        void start() throws Exception {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            List<String> command = new ArrayList<>(List.of(run.split(" ")));
            command.set(command.indexOf("--config") + 1, settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
            builder.redirectErrorStream(true);
            Path log = System.getenv("KEEP_LOGS") == null
                    ? folder.resolve(name + ".log")
                    : Path.of(System.getenv("KEEP_LOGS"), name + ".log");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            synchronized (gateways) {
                if (closed) {
                    throw new IllegalStateException("the case has ended");
                }
                process = builder.start();
            }
            record("start of " + name + ", process " + process.pid());
            long untilMs = nowMs() + 20_000;
            while (!isReady()) {
                if (nowMs() > untilMs || !process.isAlive()) {
                    throw new IllegalStateException(name + " isn't ready");
                }
                Thread.sleep(50);
            }
            record(name + " is ready");
        }

        boolean isReady() {
            try (Conn conn = new Conn(ready)) {
                conn.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0]);
                return conn.readHead().status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Sends a signal with the command kill. */
        void signal(String signal) throws Exception {
            record("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean waitForEnd(long timeoutMs) throws InterruptedException {
            return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                process.onExit().join();
            }
        }
    }

    /** Head of a request or response; names of headers are in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** One end of an HTTP/1.1 connection. */
    static final class Conn implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Conn(int port) throws IOException {
            this(port, 0);
        }

        /** Connects with a receive buffer of the given size, 0 for the usual one. */
        Conn(int port, int receiveBytes) throws IOException {
            this(connect(port, receiveBytes));
        }

        private static Socket connect(int port, int receiveBytes) throws IOException {
            Socket socket = new Socket();
            if (receiveBytes > 0) {
                socket.setReceiveBufferSize(receiveBytes);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            return socket;
        }

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream(), 8_192);
            out = socket.getOutputStream();
        }

        void send(String head, byte[] body) throws IOException {
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }

        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    throw new EOFException("end of the connection");
                }
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(next);
            }
        }

        Head readHead() throws IOException {
            String first = readLine();
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            return new Head(first, headers);
        }

        /** Reads a body with a length or in chunks, at most so many bytes in a second (0: as fast as they come). */
        byte[] readBody(Head head, int bytesPerS) throws IOException, InterruptedException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    int size = Integer.parseInt(readLine().split(";")[0].trim(), 16);
                    readFully(size, bytesPerS, body);
                    readLine();
                    if (size == 0) {
                        return body.toByteArray();
                    }
                }
            }
            String length = head.header("content-length");
            readFully(length.isEmpty() ? 0 : Integer.parseInt(length), bytesPerS, body);
            return body.toByteArray();
        }

        private void readFully(int size, int bytesPerS, OutputStream to) throws IOException, InterruptedException {
            byte[] buffer = new byte[4_096];
            int left = size;
            while (left > 0) {
                int read = in.read(buffer, 0, Math.min(left, buffer.length));
                if (read < 0) {
                    throw new EOFException("end of the connection, " + left + " bytes of a part missing");
                }
                to.write(buffer, 0, read);
                left -= read;
                if (bytesPerS > 0) {
                    TimeUnit.NANOSECONDS.sleep(read * 1_000_000_000L / bytesPerS);
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    interface ConnHandler {
        void handle(Conn conn) throws Exception;
    }

    /** Accepts connections on a loopback address. */
    static ServerSocket serve(ConnHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 1_024, InetAddress.getByName(LOOPBACK));
        Thread.startVirtualThread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Thread.startVirtualThread(() -> {
                        try (Conn conn = new Conn(socket)) {
                            handler.handle(conn);
                        } catch (Exception e) {
                            // The other end has closed the connection.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener;
    }

    /** The platform's store: it answers lists and watches, and loses nothing. */
    static final class Store {
        private record Item(String value, long revision) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final ServerSocket listener = serve(this::handle);
        private long revision = 10;

        Store() throws IOException {}

        int port() {
            return listener.getLocalPort();
        }

        synchronized void put(String key, String json) {
            revision++;
            String value =
                    json == null ? null : Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
            items.put(key, new Item(value, revision));
            notifyAll();
        }

        void putServer(String id, String service, int port, String zone, int slots, long born) {
            put(
                    "servers/" + id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + LOOPBACK + ":" + port + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"1\",\"slots\":" + slots
                            + ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":" + born + "}");
        }

        private void handle(Conn conn) throws Exception {
            while (true) {
                Head head = conn.readHead();
                String target = head.firstLine().split(" ")[1];
                Map<String, String> query = new LinkedHashMap<>();
                if (target.contains("?")) {
                    for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                        String[] parts = pair.split("=", 2);
                        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
                    }
                }
                String body = target.startsWith("/kv-range")
                        ? list()
                        : watch(
                                Long.parseLong(query.getOrDefault("after", "0")),
                                Long.parseLong(query.getOrDefault("waitMs", "0")));
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                conn.send(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                + "\r\n\r\n",
                        bytes);
            }
        }

        private static String json(String key, Item item) {
            return item.value() == null
                    ? "{\"key\":\"" + key + "\",\"revision\":" + item.revision() + ",\"removed\":true}"
                    : "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                            + ",\"created\":" + item.revision() + ",\"lease\":0}";
        }

        private synchronized String list() {
            List<String> all = new ArrayList<>();
            items.forEach((key, item) -> {
                if (item.value() != null) {
                    all.add(json(key, item));
                }
            });
            return "{\"items\":[" + String.join(",", all) + "],\"hasMore\":false,\"at\":" + revision + "}";
        }

        private synchronized String watch(long after, long waitMs) throws InterruptedException {
            long untilNs = System.nanoTime() + waitMs * 1_000_000;
            while (revision <= after && System.nanoTime() < untilNs) {
                TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, untilNs - System.nanoTime()));
            }
            List<Map.Entry<String, Item>> changes = new ArrayList<>();
            items.entrySet().forEach(entry -> {
                if (entry.getValue().revision() > after) {
                    changes.add(entry);
                }
            });
            changes.sort(java.util.Comparator.comparingLong(
                    (Map.Entry<String, Item> entry) -> entry.getValue().revision()));
            List<String> events = changes.stream()
                    .map(entry -> json(entry.getKey(), entry.getValue()))
                    .toList();
            return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
        }
    }
}
