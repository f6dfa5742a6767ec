import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small HTTP/1.1 server and client on plain sockets. */
final class Http {
    private Http() {}

    /** A request or a response with a body of known length. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return first.split(" ", 3)[0];
        }

        String target() {
            return first.split(" ", 3)[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ", 3)[1]);
        }
    }

    interface Handler {
        /** Answers one request on the stream; returns false to close the connection. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** Serves each connection on a thread of its own. */
    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
        Thread.ofVirtual().start(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Thread.ofVirtual().start(() -> connection(socket, handler));
                } catch (IOException e) {
                    if (!listener.isClosed()) {
                        continue;
                    }
                }
            }
        });
        return listener;
    }

    private static void connection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = read(in, false);
                if (request == null || !handler.handle(request, socket.getOutputStream(), socket)) {
                    return;
                }
            }
        } catch (Exception e) {
            // The other side has left.
        }
    }

    /** Reads a message; null at the end of the connection before its first byte. */
    static Message read(InputStream in, boolean toHead) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String sizeLine = line(in);
                if (sizeLine == null) {
                    throw new EOFException("inside a chunked body");
                }
                int size = Integer.parseInt(sizeLine.split(";")[0].trim(), 16);
                if (size == 0) {
                    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {}
                    break;
                }
                all.write(exactly(in, size));
                line(in);
            }
            body = all.toByteArray();
        } else if (headers.containsKey("content-length") && !toHead) {
            body = exactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return new Message(first, headers, body);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static byte[] message(String first, List<String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }

    static void answer(OutputStream out, int status, List<String> headers, String body) throws IOException {
        List<String> all = new ArrayList<>(headers);
        out.write(message("HTTP/1.1 " + status + " X", all, body.getBytes(StandardCharsets.UTF_8)));
        out.flush();
    }

    /** A client's connection, kept open for several requests. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Connection(String host, int port, int timeoutMs) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), timeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Message call(String first, List<String> headers, byte[] body, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(message(first, headers, body));
            Message answer = read(in, first.startsWith("HEAD"));
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Calls once on a connection of its own; status 0 if there is no answer. */
    static int status(String host, int port, String target) {
        try (Connection connection = new Connection(host, port, 500)) {
            return connection.call("GET " + target + " HTTP/1.1", List.of("Host: x"), new byte[0], 1000).status();
        } catch (SocketTimeoutException e) {
            return 0;
        } catch (IOException e) {
            return 0;
        }
    }
}
