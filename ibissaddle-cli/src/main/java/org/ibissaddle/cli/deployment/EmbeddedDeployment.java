package org.ibissaddle.cli.deployment;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import org.ibissaddle.daemon.Daemon;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.InstanceEntry;
import org.ibissaddle.standins.PlatformOptions;
import org.ibissaddle.standins.PlatformStandin;
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;
import org.ibissaddle.standins.StandinStartException;
import org.ibissaddle.ticket.DeploymentKey;

/** Platform, backend servers and entry instances of a deployment in one process on the loopback interface. */
public final class EmbeddedDeployment implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int LOOP_THREADS = 4;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final long DEADLINE_MS = 120_000;
    private static final String KEY = "embedded-deployment-key";

    private final EventLoopGroup loops = HttpStandin.newEventLoops(LOOP_THREADS);
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final List<Address> controls = new ArrayList<>();
    private final List<Address> callers = new ArrayList<>();
    private final PlatformStandin platform = new PlatformStandin(PlatformOptions.named("platform"), loops);

    private EmbeddedDeployment() {}

    /**
     * Starts a deployment.
     *
     * @param spec what it consists of
     * @param note text of its release note
     * @return the running deployment
     * @throws IOException when a port cannot be bound
     */
    public static EmbeddedDeployment start(DeploymentSpec spec, String note) throws IOException {
        EmbeddedDeployment deployment = new EmbeddedDeployment();
        try {
            deployment.startAll(spec, note);
            return deployment;
        } catch (StandinStartException e) {
            deployment.close();
            throw new IOException(e.getMessage(), e);
        }
    }

    private void startAll(DeploymentSpec spec, String note) throws IOException, StandinStartException {
        platform.start();
        platform.putConfig("note", note.getBytes(StandardCharsets.UTF_8));
        for (DeploymentSpec.Place place : spec.engines()) {
            EngineOptions options =
                    EngineOptions.named(place.name()).models(spec.model()).build();
            addServer(place, spec.modelPool(), new EngineStandin(options, loops));
        }
        for (DeploymentSpec.Place place : spec.services()) {
            addServer(place, spec.servicePool(), new ServiceStandin(ServiceOptions.named(place.name()), loops));
        }
        for (DeploymentSpec.Place place : spec.instances()) {
            addInstance(place);
        }
    }

    private void addServer(DeploymentSpec.Place place, String pool, HttpStandin server) throws StandinStartException {
        server.start();
        parts.add(server);
        platform.putInstance(new InstanceEntry(
                place.name(),
                InstanceEntry.SERVER,
                java.util.Optional.of(pool),
                place.region(),
                place.zone(),
                address(server.address()).toString(),
                java.util.Optional.empty(),
                InstanceEntry.LIVE));
    }

    private void addInstance(DeploymentSpec.Place place) throws IOException {
        Address caller = new Address(LOOPBACK, freePort());
        Address control = new Address(LOOPBACK, freePort());
        Settings settings = new Settings(
                new InstanceId(place.name()),
                new Region(place.region()),
                new Zone(place.zone()),
                caller,
                control,
                List.of(address(platform.address())),
                controls,
                DeploymentKey.of(KEY.getBytes(StandardCharsets.UTF_8)),
                new Settings.Limits(MAX_BODY_BYTES, MAX_HEADER_BYTES, DEADLINE_MS),
                Level.INFO);
        parts.add(Daemon.start(settings, System::currentTimeMillis));
        controls.add(control);
        callers.add(caller);
        platform.putInstance(new InstanceEntry(
                place.name(),
                InstanceEntry.INSTANCE,
                java.util.Optional.empty(),
                place.region(),
                place.zone(),
                caller.toString(),
                java.util.Optional.of(control.toString()),
                InstanceEntry.LIVE));
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static Address address(InetSocketAddress socket) {
        return new Address(socket.getAddress().getHostAddress(), socket.getPort());
    }

    /**
     * Returns the control addresses of the instances.
     *
     * @return in the order of the specification
     */
    public List<Address> controls() {
        return List.copyOf(controls);
    }

    /**
     * Returns the caller addresses of the instances.
     *
     * @return in the order of the specification
     */
    public List<Address> callers() {
        return List.copyOf(callers);
    }

    @Override
    public void close() {
        for (int i = parts.size() - 1; i >= 0; i--) {
            try {
                parts.get(i).close();
            } catch (Exception e) {
                throw new IllegalStateException("part " + i + " of the deployment did not stop", e);
            }
        }
        platform.close();
        loops.shutdownGracefully();
    }
}
