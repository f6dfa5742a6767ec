package org.ibissaddle.daemon.caller;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.ibissaddle.id.Address;

/** An HTTP client that sends arbitrary bytes and reads the responses one at a time. */
public final class RawHttpClient implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket;
    private final InputStream in;

    public RawHttpClient(Address address) throws IOException {
        socket = new Socket(InetAddress.getByName(address.host()), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public record RawResponse(int status, Map<String, String> headers, String body) {}

    public RawHttpClient send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.UTF_8));
    }

    public RawHttpClient send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    public RawResponse answer() throws IOException {
        int status = Integer.parseInt(readLine().split(" ", -1)[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new RawResponse(status, headers, readBody(status, headers));
    }

    private String readBody(int status, Map<String, String> headers) throws IOException {
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            return readChunkedBody();
        }
        int length = status == 100 ? 0 : Integer.parseInt(headers.get("content-length"));
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private String readChunkedBody() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.write(in.readNBytes(size));
            readLine();
        }
        readLine();
        return body.toString(StandardCharsets.UTF_8);
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine(), 16);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException(
                        "the connection was closed after \"" + line.toString(StandardCharsets.UTF_8) + '"');
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Returns whether the server has closed the connection. */
    public boolean connectionClosed() throws IOException {
        return in.read() < 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
