package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.net.SocketFactory;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Okio;
import okio.Source;
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Starts, resumes and cancels responses of engines and other instances. If a request fails, reports what is known about
 * its execution.
 */
public final class StreamClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final long KEEP_ALIVE_MS = 20_000;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long READ_TIMEOUT_MS = 5_000;
    private static final long MAX_RESPONSE_BYTES = 32L * 1024 * 1024;
    private static final int MAX_CONCURRENT_CALLS = 65_536;

    private final OkHttpClient nonStreamingClient;
    private final OkHttpClient streamingClient;
    private final OkHttpClient unpooledClient;

    /**
     * Creates a client with its own connection pool.
     *
     * @param sockets socket factory of the client
     */
    public StreamClient(SocketFactory sockets) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
        nonStreamingClient = new OkHttpClient.Builder()
                .socketFactory(sockets)
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_MS, TimeUnit.MILLISECONDS))
                .protocols(List.of(Protocol.HTTP_1_1))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .addNetworkInterceptor(StreamClient::sendOnce)
                .addNetworkInterceptor(new ResponseCheck())
                .eventListenerFactory(WriteFailure::listenerOf)
                .build();
        streamingClient = nonStreamingClient
                .newBuilder()
                .readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .build();
        unpooledClient = streamingClient
                .newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .build();
    }

    /** Result of starting a response. */
    public sealed interface StartResult {
        /**
         * The response is being streamed.
         *
         * @param response the response; the caller must close it
         */
        record Streaming(Response response) implements StartResult {}

        /**
         * No response is being streamed.
         *
         * @param evidence what is known about the execution of the request
         * @param refused whether the connection was refused
         */
        record Failed(AttemptResult evidence, boolean refused) implements StartResult {}
    }

    /** Result of resuming a response. */
    public sealed interface ResumeResult {
        /**
         * The response is being streamed again.
         *
         * @param response the response; the caller must close it
         */
        record Streaming(Response response) implements ResumeResult {}

        /** The engine or instance does not know the stream. */
        record UnknownStream() implements ResumeResult {}

        /** The connection was refused, or was closed without a response. */
        record Refused() implements ResumeResult {}

        /** The request timed out or was cancelled, or the response had another status than 200 or 404. */
        record NoResponse() implements ResumeResult {}
    }

    /**
     * Starts a streamed response.
     *
     * @param server ID of the engine or instance
     * @param request the request
     * @param started receives the call before it is executed, so that it can be cancelled
     * @return the response, or what is known about the execution of the request
     */
    public StartResult start(ServerId server, Request request, Consumer<Call> started) {
        Call call = streamingClient.newCall(withWriteState(request));
        started.accept(call);
        try {
            Response response = call.execute();
            if (response.code() == 200 && isEventStream(response)) {
                return new StartResult.Streaming(response);
            }
            try (response) {
                return new StartResult.Failed(toEvidence(server, response), false);
            }
        } catch (IOException e) {
            return failureResult(server, call, e);
        }
    }

    /**
     * Sends a request and reads the complete response.
     *
     * @param server ID of the engine or instance
     * @param request the request
     * @param timeoutMs timeout of the whole call in milliseconds
     * @param started receives the call before it is executed, so that it can be cancelled
     * @return what is known about the execution of the request, and whether the connection was refused
     */
    public StartResult.Failed fetch(ServerId server, Request request, long timeoutMs, Consumer<Call> started) {
        Call call = nonStreamingClient.newCall(withWriteState(request));
        call.timeout().timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
        started.accept(call);
        boolean responseStarted = false;
        try (Response response = call.execute()) {
            responseStarted = true;
            return new StartResult.Failed(toEvidence(server, response), false);
        } catch (IOException e) {
            if (responseStarted) {
                Refusal refusal = Refusal.of(
                        RefusalType.ANSWER_CUT,
                        "server " + server + " sent an incomplete response",
                        ExecutionStatus.RAN);
                return new StartResult.Failed(new AttemptResult.TruncatedResponse(server, refusal), false);
            }
            return failureResult(server, call, e);
        }
    }

    private static AttemptResult toEvidence(ServerId server, Response response) throws IOException {
        boolean refusalStatus = response.code() >= 500 || response.code() == 404 || response.code() == 429;
        if (refusalStatus && ExecutionStatus.NOT_RUN.wireName().equals(response.header("X-Ran"))) {
            return new AttemptResult.ReportedNotRun(server, ServerRefusalParser.parse(server, response));
        }
        if (response.code() >= 500) {
            return new AttemptResult.LostAfterWrite(
                    server,
                    Refusal.of(
                            RefusalType.BACKEND_FAILED,
                            "server " + server + " responded with status " + response.code(),
                            ExecutionStatus.UNKNOWN));
        }
        byte[] body;
        try {
            body = ResponseBodyReader.read(server, response, MAX_RESPONSE_BYTES);
        } catch (UnusableBodyException e) {
            return new AttemptResult.TruncatedResponse(server, e.refusal());
        }
        Map<String, String> headers = Map.of(
                "content-type", response.header("content-type", "application/json"),
                "x-request-id", response.header("x-request-id", ""),
                "x-attempt", response.header("x-attempt", ""),
                "x-server", response.header("x-server", server.name()));
        return new AttemptResult.Answered(server, new Answer(response.code(), headers, body));
    }

    private static StartResult.Failed failureResult(ServerId server, Call call, IOException cause) {
        boolean written = call.request().tag(WriteState.class).started;
        String message =
                "request to server " + server + " failed: " + cause.getClass().getSimpleName();
        AttemptResult evidence = written
                ? new AttemptResult.LostAfterWrite(
                        server, Refusal.of(RefusalType.BACKEND_FAILED, message, ExecutionStatus.UNKNOWN))
                : new AttemptResult.Unsent(server, Refusal.of(RefusalType.NO_SERVER, message, ExecutionStatus.NOT_RUN));
        return new StartResult.Failed(evidence, cause instanceof ConnectException);
    }

    /**
     * Builds a POST request with a JSON body.
     *
     * @param address address of the engine or instance
     * @param path path of the request
     * @param headers header fields
     * @param body JSON in UTF-8
     * @return the request
     */
    public static Request postRequest(Address address, String path, Map<String, String> headers, byte[] body) {
        Request.Builder request =
                new Request.Builder().url("http://" + address + path).post(RequestBody.create(body, JSON));
        headers.forEach(request::header);
        return request.build();
    }

    /**
     * Builds a request that resumes a response at an engine.
     *
     * @param address address of the engine
     * @param request ID of the request whose response is resumed
     * @param offset offset of the first missing character
     * @return the request
     */
    public static Request resumeRequest(Address address, RequestId request, long offset) {
        return new Request.Builder()
                .url("http://" + address + "/v1/streams/" + request + "?offset=" + offset)
                .build();
    }

    /**
     * Resumes a response.
     *
     * @param request the request, which carries the position to resume at
     * @param started receives the call before it is executed, so that it can be cancelled
     * @return the rest of the response, or the reason why there is none
     */
    public ResumeResult resume(Request request, Consumer<Call> started) {
        Call call = unpooledClient.newCall(withWriteState(request));
        started.accept(call);
        try {
            Response response = call.execute();
            if (response.code() == 200) {
                return new ResumeResult.Streaming(response);
            }
            response.close();
            return response.code() == 404 ? new ResumeResult.UnknownStream() : new ResumeResult.NoResponse();
        } catch (InterruptedIOException e) {
            return new ResumeResult.NoResponse();
        } catch (IOException e) {
            return call.isCanceled() ? new ResumeResult.NoResponse() : new ResumeResult.Refused();
        }
    }

    /**
     * Cancels a response at an engine. The result is ignored.
     *
     * @param address address of the engine
     * @param request ID of the request whose response is cancelled
     */
    public void cancel(Address address, RequestId request) {
        Request delete = new Request.Builder()
                .url("http://" + address + "/v1/streams/" + request)
                .delete()
                .build();
        Call call = streamingClient.newCall(withWriteState(delete));
        try (Response response = call.execute()) {
            response.body().source().skip(0);
        } catch (IOException e) {
            call.cancel();
        }
    }

    private static Request withWriteState(Request request) {
        return WriteFailure.recordedFor(
                request.newBuilder().tag(WriteState.class, new WriteState()).build());
    }

    private static Response sendOnce(Interceptor.Chain chain) throws IOException {
        WriteState state = chain.request().tag(WriteState.class);
        if (state.started) {
            throw new IOException("the request has already been written once");
        }
        state.started = true;
        Response response = chain.proceed(chain.request());
        Response.Builder relayed = response.newBuilder().removeHeader("Retry-After");
        if (isEventStream(response)) {
            Source events = new EventSizeLimiter(response.body().source());
            relayed.body(ResponseBody.create(
                    Okio.buffer(events),
                    response.body().contentType(),
                    response.body().contentLength()));
        }
        return relayed.build();
    }

    private static boolean isEventStream(Response response) {
        return response.header("content-type", "").startsWith("text/event-stream");
    }

    @Override
    public void close() {
        nonStreamingClient.dispatcher().cancelAll();
        nonStreamingClient.dispatcher().executorService().shutdown();
        nonStreamingClient.connectionPool().evictAll();
    }

    /** Records whether writing the request has started. Confined to the thread of the call. */
    private static final class WriteState {
        private boolean started;
    }
}
