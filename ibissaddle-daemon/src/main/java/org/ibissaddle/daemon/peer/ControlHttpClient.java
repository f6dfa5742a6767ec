package org.ibissaddle.daemon.peer;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.SocketFactory;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.ibissaddle.id.Address;

/** HTTP client for the small requests of the control plane, each with a timeout. */
public final class ControlHttpClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final long IDLE_TIMEOUT_MS = 15_000;
    /** Maximum size of a response, bytes; several times the size of a large release note. */
    private static final long MAX_RESPONSE_BYTES = 16L * 1024 * 1024;

    private final OkHttpClient http;

    /**
     * Creates a client with a connection pool of its own.
     *
     * @param sockets factory for the sockets of the client
     */
    public ControlHttpClient(SocketFactory sockets) {
        Dispatcher dispatcher = new Dispatcher();
        http = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .socketFactory(sockets)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                .followRedirects(false)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .build();
    }

    /**
     * An HTTP response.
     *
     * @param status status code
     * @param header value of the requested header field
     * @param body the response body
     */
    public record ControlResponse(int status, Optional<String> header, String body) {}

    /**
     * Sends a GET request.
     *
     * @param address target address
     * @param path request path and query
     * @param header name of the response header field to return
     * @param timeoutMs timeout for the complete response, in milliseconds
     * @return the response
     * @throws IOException if the request fails or times out
     */
    public ControlResponse get(Address address, String path, String header, long timeoutMs) throws IOException {
        Request request = new Request.Builder().url("http://" + address + path).build();
        return execute(request, header, timeoutMs);
    }

    /**
     * Sends a POST request with a JSON body.
     *
     * @param address target address
     * @param path request path
     * @param headers request header fields
     * @param body JSON in UTF-8
     * @param header name of the response header field to return
     * @param timeoutMs timeout for the complete response, in milliseconds
     * @return the response
     * @throws IOException if the request fails or times out
     */
    public ControlResponse post(
            Address address, String path, Map<String, String> headers, byte[] body, String header, long timeoutMs)
            throws IOException {
        Request.Builder request =
                new Request.Builder().url("http://" + address + path).post(RequestBody.create(body, JSON));
        headers.forEach(request::header);
        return execute(request.build(), header, timeoutMs);
    }

    private ControlResponse execute(Request request, String header, long timeoutMs) throws IOException {
        var call = http.newCall(request);
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS);
        try (Response response = call.execute()) {
            if (response.body().source().request(MAX_RESPONSE_BYTES)) {
                throw new IOException("the response of " + request.url() + " exceeds " + MAX_RESPONSE_BYTES + " bytes");
            }
            return new ControlResponse(
                    response.code(),
                    Optional.ofNullable(response.header(header)),
                    response.body().string());
        }
    }

    @Override
    public void close() {
        http.dispatcher().cancelAll();
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }
}
