package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.SocketFactory;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.ibissaddle.id.Address;

/** Calls of model engines and other instances. Never repeats a call by itself. */
public final class EngineClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final long IDLE_MS = 20_000;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_CALLS = 65_536;

    private final OkHttpClient http;

    /**
     * Creates a client with a connection pool of its own.
     *
     * @param sockets creates its sockets
     */
    public EngineClient(SocketFactory sockets) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CALLS);
        http = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .socketFactory(sockets)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_MS, TimeUnit.MILLISECONDS))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .build();
    }

    /**
     * Prepares a POST of a JSON body.
     *
     * @param address where to
     * @param path path of the call
     * @param headers header fields
     * @param body JSON in UTF-8
     * @return the call, not yet executed
     */
    public Call post(Address address, String path, Map<String, String> headers, byte[] body) {
        Request.Builder request =
                new Request.Builder().url("http://" + address + path).post(RequestBody.create(body, JSON));
        headers.forEach(request::header);
        return http.newCall(request.build());
    }

    /**
     * Reads a small answer.
     *
     * @param address where from
     * @param path path and query
     * @return the body as text
     * @throws IOException when there is no answer, or its status is not 200
     */
    public String get(Address address, String path) throws IOException {
        Request request = new Request.Builder().url("http://" + address + path).build();
        try (var response = http.newCall(request).execute()) {
            if (response.code() != 200) {
                throw new UnexpectedStatusException(address, path, response.code());
            }
            return response.body().string();
        }
    }

    @Override
    public void close() {
        http.dispatcher().cancelAll();
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }
}
