package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.SocketFactory;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.Evidence;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Sends one call to one plain service, exactly once or not at all, and tells what is certain afterwards. Retries,
 * redirects and the repetition that {@code Retry-After: 0} brings about are off.
 */
public final class ServiceClient implements AutoCloseable {
    private static final String RAN = "X-Ran";
    private static final String RETRY_AFTER = "Retry-After";
    private static final List<String> RELAYED = List.of("content-type", "location", "x-request-id", "x-server");
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long MAX_ANSWER_BYTES = 8L * 1024 * 1024;
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final long IDLE_MS = 20_000;

    private final OkHttpClient http;

    private ServiceClient(SocketFactory sockets, ConnectionPool pool) {
        http = new OkHttpClient.Builder()
                .socketFactory(sockets)
                .connectionPool(pool)
                .protocols(List.of(Protocol.HTTP_1_1))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .addNetworkInterceptor(ServiceClient::write)
                .build();
    }

    /**
     * Makes a client that opens a connection for each call, so that no call meets one that the service is closing.
     *
     * @param sockets creates its sockets
     * @return the client for calls that run at most once
     */
    public static ServiceClient withFreshConnections(SocketFactory sockets) {
        return new ServiceClient(sockets, new ConnectionPool(0, 1, TimeUnit.MILLISECONDS));
    }

    /**
     * Makes a client that keeps connections.
     *
     * @param sockets creates its sockets
     * @return the client for repeatable calls
     */
    public static ServiceClient withKeptConnections(SocketFactory sockets) {
        return new ServiceClient(sockets, new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_MS, TimeUnit.MILLISECONDS));
    }

    /** Last check before the first byte is written, when the connection stands. */
    @FunctionalInterface
    public interface Gate {
        /**
         * Looks for a reason not to write.
         *
         * @return the reason, empty when the call may be written
         */
        Optional<Refusal> closed();
    }

    /**
     * Sends a call.
     *
     * @param server name of the receiver
     * @param address where it listens
     * @param request the call
     * @param gate last check before the first byte
     * @param timeoutMs how long to wait, milliseconds
     * @return what is certain
     */
    public Evidence send(ServerId server, Address address, ServiceRequest request, Gate gate, long timeoutMs) {
        Attempt attempt = new Attempt(gate);
        Call call = http.newCall(build(address, request, attempt));
        call.timeout().timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
        boolean answering = false;
        try (Response response = call.execute()) {
            answering = true;
            return heard(server, response, attempt);
        } catch (IOException e) {
            return failed(server, attempt, answering, e);
        }
    }

    private static Evidence failed(ServerId server, Attempt attempt, boolean answering, IOException cause) {
        if (attempt.refusal.isPresent()) {
            return new Evidence.NothingHanded(server, attempt.refusal.get());
        }
        String message = "server " + server + ": " + cause.getClass().getSimpleName();
        if (answering) {
            return new Evidence.CutAnswer(server, Refusal.of(RefusalType.ANSWER_CUT, message, Fate.RAN));
        }
        return attempt.writing
                ? new Evidence.LostAfterWrite(server, Refusal.of(RefusalType.BACKEND_FAILED, message, Fate.UNKNOWN))
                : new Evidence.NothingHanded(server, Refusal.of(RefusalType.NO_SERVER, message, Fate.NOT_RUN));
    }

    private static Evidence heard(ServerId server, Response response, Attempt attempt) throws IOException {
        if (Fate.NOT_RUN.word().equals(response.header(RAN))) {
            return new Evidence.SaidNotRun(server, ServerRefusals.read(server, response));
        }
        if (response.body().source().request(MAX_ANSWER_BYTES)) {
            Refusal refusal = Refusal.of(
                    RefusalType.ANSWER_CUT,
                    "the answer of server " + server + " exceeds " + MAX_ANSWER_BYTES + " bytes",
                    Fate.RAN);
            return new Evidence.CutAnswer(server, refusal);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String name : RELAYED) {
            Optional.ofNullable(response.header(name)).ifPresent(value -> headers.put(name, value));
        }
        attempt.retryAfter.ifPresent(value -> headers.put("retry-after", value));
        return new Evidence.Answered(
                server, new Answer(response.code(), headers, response.body().bytes()));
    }

    private static Response write(Interceptor.Chain chain) throws IOException {
        Attempt attempt = chain.request().tag(Attempt.class);
        if (attempt.writing) {
            throw new IOException("a second write of the same call was prevented");
        }
        attempt.refusal = attempt.gate.closed();
        if (attempt.refusal.isPresent()) {
            throw new IOException("the call was withdrawn before it was written");
        }
        attempt.writing = true;
        Response response = chain.proceed(chain.request());
        attempt.retryAfter = Optional.ofNullable(response.header(RETRY_AFTER));
        return response.newBuilder().removeHeader(RETRY_AFTER).build();
    }

    private static Request build(Address address, ServiceRequest request, Attempt attempt) {
        boolean bodiless = request.method().equals("GET") || request.method().equals("HEAD");
        Request.Builder built = new Request.Builder()
                .url("http://" + address + request.target())
                .method(request.method(), bodiless ? null : new OneShotBody(request))
                .tag(Attempt.class, attempt);
        request.headers().forEach(built::header);
        return built.build();
    }

    @Override
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    /** What became of one call; confined to the thread that sends it. */
    private static final class Attempt {
        private final Gate gate;
        private Optional<Refusal> refusal = Optional.empty();
        private Optional<String> retryAfter = Optional.empty();
        private boolean writing;

        Attempt(Gate gate) {
            this.gate = gate;
        }
    }

    private static final class OneShotBody extends RequestBody {
        private final ServiceRequest request;

        OneShotBody(ServiceRequest request) {
            this.request = request;
        }

        @Override
        public MediaType contentType() {
            String type = request.headers().get("Content-Type");
            return type == null ? null : MediaType.parse(type);
        }

        @Override
        public long contentLength() {
            return request.body().length;
        }

        @Override
        public boolean isOneShot() {
            return true;
        }

        @Override
        public void writeTo(BufferedSink sink) throws IOException {
            sink.write(request.body());
        }
    }
}
