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
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Sends a request to a plain service at most once and reports what is known about its execution. Automatic retries and
 * redirects are disabled. OkHttp also repeats a request after a response with {@code Retry-After: 0}, so that header is
 * hidden from it and added to the relayed response afterwards.
 */
public final class ServiceClient implements AutoCloseable {
    private static final String RAN_HEADER = "X-Ran";
    private static final String RETRY_AFTER_HEADER = "Retry-After";
    private static final List<String> RELAYED_HEADERS = List.of("content-type", "location", "x-request-id", "x-server");
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long MAX_RESPONSE_BYTES = 8L * 1024 * 1024;
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final long KEEP_ALIVE_MS = 20_000;

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
                .addNetworkInterceptor(ServiceClient::sendOnce)
                .addNetworkInterceptor(new ResponseCheck())
                .eventListenerFactory(WriteFailure::listenerOf)
                .build();
    }

    /**
     * Creates a client that opens a new connection for each request, so that no request is written to a pooled
     * connection that the service is closing.
     *
     * @param sockets socket factory of the client
     * @return a client for requests that must be executed at most once
     */
    public static ServiceClient unpooled(SocketFactory sockets) {
        return new ServiceClient(sockets, new ConnectionPool(0, 1, TimeUnit.MILLISECONDS));
    }

    /**
     * Creates a client that reuses idle connections.
     *
     * @param sockets socket factory of the client
     * @return a client for requests that can be retried
     */
    public static ServiceClient pooled(SocketFactory sockets) {
        return new ServiceClient(
                sockets, new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_MS, TimeUnit.MILLISECONDS));
    }

    /** Check that runs once the connection is established, immediately before the first byte is written. */
    @FunctionalInterface
    public interface PreSendCheck {
        /**
         * Checks whether the request must not be sent any more.
         *
         * @return the reason, empty if the request may be sent
         */
        Optional<Refusal> check();
    }

    /**
     * Sends a request and waits for the response.
     *
     * @param server ID of the backend server or instance
     * @param address address of the backend server or instance
     * @param request the request
     * @param preSendCheck check that runs immediately before the first byte is written
     * @param timeoutMs timeout of the whole call in milliseconds
     * @return what is known about the execution of the request
     */
    public AttemptResult send(
            ServerId server, Address address, ServiceRequest request, PreSendCheck preSendCheck, long timeoutMs) {
        Attempt attempt = new Attempt(preSendCheck);
        Call call = http.newCall(toHttpRequest(address, request, attempt));
        call.timeout().timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
        boolean responseStarted = false;
        try (Response response = call.execute()) {
            responseStarted = true;
            return toEvidence(server, response, attempt);
        } catch (IOException e) {
            return failureEvidence(server, attempt, responseStarted, e);
        }
    }

    private static AttemptResult failureEvidence(
            ServerId server, Attempt attempt, boolean responseStarted, IOException cause) {
        if (attempt.refusal.isPresent()) {
            return new AttemptResult.Unsent(server, attempt.refusal.get());
        }
        String message =
                "request to server " + server + " failed: " + cause.getClass().getSimpleName();
        if (responseStarted) {
            return new AttemptResult.TruncatedResponse(
                    server, Refusal.of(RefusalType.ANSWER_CUT, message, ExecutionStatus.RAN));
        }
        return attempt.writeStarted
                ? new AttemptResult.LostAfterWrite(
                        server, Refusal.of(RefusalType.BACKEND_FAILED, message, ExecutionStatus.UNKNOWN))
                : new AttemptResult.Unsent(server, Refusal.of(RefusalType.NO_SERVER, message, ExecutionStatus.NOT_RUN));
    }

    private static AttemptResult toEvidence(ServerId server, Response response, Attempt attempt) throws IOException {
        if (ExecutionStatus.NOT_RUN.wireName().equals(response.header(RAN_HEADER))) {
            return new AttemptResult.ReportedNotRun(server, ServerRefusalParser.parse(server, response));
        }
        byte[] body;
        try {
            body = ResponseBodyReader.read(server, response, MAX_RESPONSE_BYTES);
        } catch (UnusableBodyException e) {
            return new AttemptResult.TruncatedResponse(server, e.refusal());
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String name : RELAYED_HEADERS) {
            Optional.ofNullable(response.header(name)).ifPresent(value -> headers.put(name, value));
        }
        attempt.retryAfter.ifPresent(value -> headers.put("retry-after", value));
        return new AttemptResult.Answered(server, new Answer(response.code(), headers, body));
    }

    private static Response sendOnce(Interceptor.Chain chain) throws IOException {
        Attempt attempt = chain.request().tag(Attempt.class);
        if (attempt.writeStarted) {
            throw new IOException("the request has already been written once");
        }
        attempt.refusal = attempt.preSendCheck.check();
        if (attempt.refusal.isPresent()) {
            throw new IOException("the check before sending rejected the request");
        }
        attempt.writeStarted = true;
        Response response = chain.proceed(chain.request());
        attempt.retryAfter = Optional.ofNullable(response.header(RETRY_AFTER_HEADER));
        return response.newBuilder().removeHeader(RETRY_AFTER_HEADER).build();
    }

    private static Request toHttpRequest(Address address, ServiceRequest request, Attempt attempt) {
        boolean withoutBody = request.method().equals("GET") || request.method().equals("HEAD");
        Request.Builder builder = new Request.Builder()
                .url("http://" + address + request.target())
                .method(request.method(), withoutBody ? null : new OneShotBody(request))
                .tag(Attempt.class, attempt);
        request.headers().forEach(builder::header);
        return WriteFailure.recordedFor(builder.build());
    }

    @Override
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    /** State of one call. Confined to the thread that sends it. */
    private static final class Attempt {
        private final PreSendCheck preSendCheck;
        private Optional<Refusal> refusal = Optional.empty();
        private Optional<String> retryAfter = Optional.empty();
        private boolean writeStarted;

        Attempt(PreSendCheck preSendCheck) {
            this.preSendCheck = preSendCheck;
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
