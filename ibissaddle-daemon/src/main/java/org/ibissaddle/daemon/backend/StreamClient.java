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
import org.ibissaddle.dispatch.Answer;
import org.ibissaddle.dispatch.Evidence;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Starts, resumes and cancels answers of engines and other instances; tells what is certain when that fails. */
public final class StreamClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final long IDLE_CONNECTION_MS = 20_000;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long SILENCE_MS = 5_000;
    private static final long MAX_ANSWER_BYTES = 32L * 1024 * 1024;
    private static final int MAX_CALLS = 65_536;

    private final OkHttpClient whole;
    private final OkHttpClient streaming;
    private final OkHttpClient fresh;

    /**
     * Creates a client with a connection pool of its own.
     *
     * @param sockets creates its sockets
     */
    public StreamClient(SocketFactory sockets) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CALLS);
        whole = new OkHttpClient.Builder()
                .socketFactory(sockets)
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_MS, TimeUnit.MILLISECONDS))
                .protocols(List.of(Protocol.HTTP_1_1))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .addNetworkInterceptor(StreamClient::write)
                .build();
        streaming = whole.newBuilder()
                .readTimeout(SILENCE_MS, TimeUnit.MILLISECONDS)
                .build();
        fresh = streaming
                .newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .build();
    }

    /** What came of opening an answer. */
    public sealed interface Opened {
        /**
         * The answer begins.
         *
         * @param response the response, to be closed by the receiver
         */
        record Streaming(Response response) implements Opened {}

        /**
         * There is no answer.
         *
         * @param evidence what is certain
         * @param refused whether the connection was refused
         */
        record Failed(Evidence evidence, boolean refused) implements Opened {}
    }

    /** What came of resuming an answer. */
    public sealed interface Resumed {
        /**
         * The answer goes on.
         *
         * @param response the response, to be closed by the receiver
         */
        record Streaming(Response response) implements Resumed {}

        /** The receiver does not know the stream. */
        record Unknown() implements Resumed {}

        /** The connection was refused, or closed without a response. */
        record Refused() implements Resumed {}

        /** There was no response in time, or it was cut. */
        record Silent() implements Resumed {}
    }

    /**
     * Starts a streamed answer.
     *
     * @param server name of the receiver
     * @param request the call
     * @param started told of the call, so that it can be cancelled
     * @return the answer or what is certain
     */
    public Opened start(ServerId server, Request request, Consumer<Call> started) {
        Call call = streaming.newCall(tagged(request));
        started.accept(call);
        try {
            Response response = call.execute();
            String type = response.header("content-type", "");
            if (response.code() == 200 && type.startsWith("text/event-stream")) {
                return new Opened.Streaming(response);
            }
            try (response) {
                return new Opened.Failed(heard(server, response), false);
            }
        } catch (IOException e) {
            return failed(server, call, e);
        }
    }

    /**
     * Fetches a whole answer.
     *
     * @param server name of the receiver
     * @param request the call
     * @param timeoutMs how long to wait, milliseconds
     * @param started told of the call, so that it can be cancelled
     * @return the evidence, and whether the connection was refused
     */
    public Opened.Failed fetch(ServerId server, Request request, long timeoutMs, Consumer<Call> started) {
        Call call = whole.newCall(tagged(request));
        call.timeout().timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
        started.accept(call);
        boolean answering = false;
        try (Response response = call.execute()) {
            answering = true;
            return new Opened.Failed(heard(server, response), false);
        } catch (IOException e) {
            if (answering) {
                Refusal refusal = Refusal.of(RefusalType.ANSWER_CUT, "server " + server + " cut its answer", Fate.RAN);
                return new Opened.Failed(new Evidence.CutAnswer(server, refusal), false);
            }
            return failed(server, call, e);
        }
    }

    private static Evidence heard(ServerId server, Response response) throws IOException {
        boolean refused = response.code() >= 500 || response.code() == 404 || response.code() == 429;
        if (refused && Fate.NOT_RUN.word().equals(response.header("X-Ran"))) {
            return new Evidence.SaidNotRun(
                    server,
                    Refusal.of(RefusalType.NO_SERVER, "server " + server + " did not take the call", Fate.NOT_RUN));
        }
        if (response.code() >= 500) {
            return new Evidence.LostAfterWrite(
                    server,
                    Refusal.of(
                            RefusalType.BACKEND_FAILED,
                            "server " + server + " answered with status " + response.code(),
                            Fate.UNKNOWN));
        }
        response.body().source().request(MAX_ANSWER_BYTES);
        Map<String, String> headers = Map.of(
                "content-type", response.header("content-type", "application/json"),
                "x-request-id", response.header("x-request-id", ""),
                "x-attempt", response.header("x-attempt", ""),
                "x-server", response.header("x-server", server.name()));
        return new Evidence.Answered(
                server, new Answer(response.code(), headers, response.body().bytes()));
    }

    private static Opened.Failed failed(ServerId server, Call call, IOException cause) {
        boolean written = call.request().tag(Written.class).written;
        String message = "server " + server + ": " + cause.getClass().getSimpleName();
        Evidence evidence = written
                ? new Evidence.LostAfterWrite(server, Refusal.of(RefusalType.BACKEND_FAILED, message, Fate.UNKNOWN))
                : new Evidence.NothingHanded(server, Refusal.of(RefusalType.NO_SERVER, message, Fate.NOT_RUN));
        return new Opened.Failed(evidence, cause instanceof ConnectException);
    }

    /**
     * Builds a POST of a JSON body.
     *
     * @param address where to
     * @param path path of the call
     * @param headers header fields
     * @param body JSON in UTF-8
     * @return the request
     */
    public static Request post(Address address, String path, Map<String, String> headers, byte[] body) {
        Request.Builder request =
                new Request.Builder().url("http://" + address + path).post(RequestBody.create(body, JSON));
        headers.forEach(request::header);
        return request.build();
    }

    /**
     * Builds a request to read an answer on at an engine.
     *
     * @param address where the engine listens
     * @param request name of the stream
     * @param offset first character that is missing
     * @return the request
     */
    public static Request at(Address address, RequestId request, long offset) {
        return new Request.Builder()
                .url("http://" + address + "/v1/streams/" + request + "?offset=" + offset)
                .build();
    }

    /**
     * Reads an answer on.
     *
     * @param request where and from which character on
     * @param started told of the call, so that it can be cancelled
     * @return the rest of the answer or why there is none
     */
    public Resumed resume(Request request, Consumer<Call> started) {
        Call call = fresh.newCall(tagged(request));
        started.accept(call);
        try {
            Response response = call.execute();
            if (response.code() == 200) {
                return new Resumed.Streaming(response);
            }
            response.close();
            return response.code() == 404 ? new Resumed.Unknown() : new Resumed.Silent();
        } catch (InterruptedIOException e) {
            return new Resumed.Silent();
        } catch (IOException e) {
            return call.isCanceled() ? new Resumed.Silent() : new Resumed.Refused();
        }
    }

    /**
     * Cancels an answer at an engine, without waiting for it.
     *
     * @param address where the engine listens
     * @param request name of the stream
     */
    public void cancel(Address address, RequestId request) {
        Request delete = new Request.Builder()
                .url("http://" + address + "/v1/streams/" + request)
                .delete()
                .build();
        Call call = streaming.newCall(tagged(delete));
        try (Response response = call.execute()) {
            response.body().source().skip(0);
        } catch (IOException e) {
            call.cancel();
        }
    }

    private static Request tagged(Request request) {
        return request.newBuilder().tag(Written.class, new Written()).build();
    }

    private static Response write(Interceptor.Chain chain) throws IOException {
        Written written = chain.request().tag(Written.class);
        if (written.written) {
            throw new IOException("a second write of the same call was prevented");
        }
        written.written = true;
        return chain.proceed(chain.request())
                .newBuilder()
                .removeHeader("Retry-After")
                .build();
    }

    @Override
    public void close() {
        whole.dispatcher().cancelAll();
        whole.dispatcher().executorService().shutdown();
        whole.connectionPool().evictAll();
    }

    /** Whether a byte was handed to a connection; confined to the thread of the call. */
    private static final class Written {
        private boolean written;
    }
}
