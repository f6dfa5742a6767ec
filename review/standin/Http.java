import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {
    private static final Set<Integer> TAKEN_PORTS = ConcurrentHashMap.newKeySet();

    private Http() {}

    /** A request or a response: the first line, the headers by lower-case name, and the body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Returns a free port below those that the operating system gives to outgoing connections. */
    static int freePort() {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            if (!TAKEN_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use: try another one.
            }
        }
        throw new IllegalStateException("no free port");
    }

    /** Lets an error in the case itself end the process with 2, which says that the case couldn't run. */
    static void exitWithTwoOnError() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            error.printStackTrace();
            Runtime.getRuntime().halt(2);
        });
    }

    /** Reads a message; returns null if the connection ended before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        String first = readLine(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            for (int size = chunkSize(in); ; size = chunkSize(in)) {
                body.write(readFully(in, size));
                readLine(in, false);
                if (size == 0) {
                    break;
                }
            }
        } else if (headers.containsKey("content-length")) {
            body.write(readFully(in, Integer.parseInt(headers.get("content-length"))));
        } else if (response) {
            in.transferTo(body);
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in, false).trim(), 16);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in, boolean first) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (first && line.isEmpty()) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Sends one request on a new connection and returns the whole response. */
    static Message call(int port, String head, byte[] body, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(join(head, body));
            Message response = read(socket.getInputStream(), true);
            if (response == null) {
                throw new EOFException("the connection ended without an answer");
            }
            return response;
        }
    }

    static byte[] join(String head, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        return bytes.toByteArray();
    }
}
