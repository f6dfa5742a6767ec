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
import org.ibissaddle.standins.Ports;
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;
import org.ibissaddle.standins.StandinStartException;
import org.ibissaddle.ticket.DeploymentKey;

/** Runs the platform, backend servers and entry instances of a deployment in one process on the loopback interface. */
public final class EmbeddedDeployment implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int EVENT_LOOP_THREADS = 4;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final long DEADLINE_MS = 120_000;
    private static final String KEY = "embedded-deployment-key";

    private final EventLoopGroup eventLoops = HttpStandin.newEventLoops(EVENT_LOOP_THREADS);
    private final List<AutoCloseable> components = new ArrayList<>();
    private final List<Address> controlAddresses = new ArrayList<>();
    private final List<Address> callerAddresses = new ArrayList<>();
    private final PlatformStandin platform = new PlatformStandin(PlatformOptions.named("platform"), eventLoops);

    private EmbeddedDeployment() {}

    /**
     * Starts a deployment.
     *
     * @param spec specification of the deployment
     * @param note text of the release note
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
        for (DeploymentSpec.NodeSpec node : spec.engines()) {
            EngineOptions options =
                    EngineOptions.named(node.name()).models(spec.model()).build();
            addServer(node, spec.modelPool(), new EngineStandin(options, eventLoops));
        }
        for (DeploymentSpec.NodeSpec node : spec.services()) {
            addServer(node, spec.servicePool(), new ServiceStandin(ServiceOptions.named(node.name()), eventLoops));
        }
        for (DeploymentSpec.NodeSpec node : spec.instances()) {
            addInstance(node);
        }
    }

    private void addServer(DeploymentSpec.NodeSpec node, String pool, HttpStandin server) throws StandinStartException {
        server.start();
        components.add(server);
        platform.putInstance(new InstanceEntry(
                node.name(),
                InstanceEntry.SERVER,
                java.util.Optional.of(pool),
                node.region(),
                node.zone(),
                address(server.address()).toString(),
                java.util.Optional.empty(),
                InstanceEntry.LIVE));
    }

    private void addInstance(DeploymentSpec.NodeSpec node) throws IOException {
        Address caller = new Address(LOOPBACK, Ports.allocate(LOOPBACK));
        Address control = new Address(LOOPBACK, Ports.allocate(LOOPBACK));
        Settings settings = new Settings(
                new InstanceId(node.name()),
                new Region(node.region()),
                new Zone(node.zone()),
                caller,
                control,
                List.of(address(platform.address())),
                controlAddresses,
                DeploymentKey.of(KEY.getBytes(StandardCharsets.UTF_8)),
                new Settings.Limits(MAX_BODY_BYTES, MAX_HEADER_BYTES, DEADLINE_MS),
                Level.INFO);
        components.add(Daemon.start(settings, System::currentTimeMillis));
        controlAddresses.add(control);
        callerAddresses.add(caller);
        platform.putInstance(new InstanceEntry(
                node.name(),
                InstanceEntry.INSTANCE,
                java.util.Optional.empty(),
                node.region(),
                node.zone(),
                caller.toString(),
                java.util.Optional.of(control.toString()),
                InstanceEntry.LIVE));
    }

    private static Address address(InetSocketAddress socket) {
        return new Address(socket.getAddress().getHostAddress(), socket.getPort());
    }

    /**
     * Returns the control addresses of the instances.
     *
     * @return addresses in the order of the specification
     */
    public List<Address> controlAddresses() {
        return List.copyOf(controlAddresses);
    }

    /**
     * Returns the caller addresses of the instances.
     *
     * @return addresses in the order of the specification
     */
    public List<Address> callerAddresses() {
        return List.copyOf(callerAddresses);
    }

    @Override
    public void close() {
        for (int i = components.size() - 1; i >= 0; i--) {
            try {
                components.get(i).close();
            } catch (Exception e) {
                throw new IllegalStateException("failed to stop component " + i + " of the deployment", e);
            }
        }
        platform.close();
        eventLoops.shutdownGracefully();
    }
}
