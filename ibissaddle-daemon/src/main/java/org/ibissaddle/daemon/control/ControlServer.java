package org.ibissaddle.daemon.control;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.Address;

/** HTTP server of the control port: liveness, readiness, metrics, and the routes of other components. */
public final class ControlServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 16 * 1024;
    /** Larger than the largest accepted body, so that no body is ever written to a temporary file. */
    private static final int BUFFER_BYTES = 2 * MAX_BODY_BYTES;

    private static final int WORKER_THREADS = 8;
    private static final int IO_THREADS = 2;

    private final NettyServer server;

    private ControlServer(NettyServer server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param settings settings of the instance
     * @param state current release note and fleet view
     * @param metrics metrics exposed at {@code /metrics}
     * @param routes routes of other components
     * @return the listening server
     */
    public static ControlServer start(
            Settings settings, SharedState state, MetricRegistry metrics, List<ControlRoutes> routes) {
        Jooby app = new Jooby();
        app.setTmpdir(Path.of(System.getProperty("java.io.tmpdir")));
        app.error(new ControlErrorHandler());
        addHealth(app, state);
        addMetrics(app, metrics);
        routes.forEach(route -> route.addTo(app));
        Address address = settings.controlAddress();
        ServerOptions options = new ServerOptions()
                .setPort(address.port())
                .setMaxRequestSize(MAX_BODY_BYTES)
                .setBufferSize(BUFFER_BYTES)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS);
        options.setHost(address.host());
        NettyServer server = new NettyServer();
        server.setOptions(options);
        server.start(app);
        return new ControlServer(server);
    }

    private static void addHealth(Jooby app, SharedState state) {
        app.get("/live", ctx -> "live\n");
        app.get("/ready", ctx -> ready(ctx, state));
    }

    private static String ready(Context ctx, SharedState state) {
        Optional<String> reason = state.draining()
                ? Optional.of("draining")
                : state.note().isEmpty() ? Optional.of("no release note") : Optional.empty();
        if (reason.isEmpty()) {
            return "ready\n";
        }
        ctx.setResponseCode(StatusCode.SERVICE_UNAVAILABLE);
        return "not ready: " + reason.get() + "\n";
    }

    private static void addMetrics(Jooby app, MetricRegistry metrics) {
        ObjectMapper json =
                new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
        app.get("/metrics", ctx -> {
            ctx.setResponseType(MediaType.json);
            return encode(json, metrics);
        });
    }

    private static String encode(ObjectMapper json, Object value) throws JsonProcessingException {
        return json.writeValueAsString(value);
    }

    @Override
    public void close() {
        server.stop();
    }
}
