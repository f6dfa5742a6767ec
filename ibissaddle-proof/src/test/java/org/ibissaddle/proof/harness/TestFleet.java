package org.ibissaddle.proof.harness;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.FaultProxy;
import org.ibissaddle.standins.FaultProxyOptions;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.InstanceEntry;
import org.ibissaddle.standins.LinkFaults;
import org.ibissaddle.standins.PlatformOptions;
import org.ibissaddle.standins.PlatformStandin;
import org.ibissaddle.standins.Ports;
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;

/**
 * A deployment for tests: stand-ins run in the test's process and instances run as separate processes. Each instance
 * has its own fault-injecting link to the platform, to every other instance and to every backend server.
 *
 * <p>Each instance has its own IP address on the loopback interface and uses it as the source of its connections, so
 * that the proxy can tell the instances apart.
 */
public final class TestFleet implements AutoCloseable {
    private static final String DEPLOYMENT_KEY = "deployment-key-of-the-tests";
    private static final String PLATFORM_NAME = "platform";

    private final DeploymentSpec spec;
    private final EventLoopGroup eventLoops = HttpStandin.newEventLoops(4);
    private final GatewayLauncher launcher = new GatewayLauncher();
    private final FaultProxy proxy = new FaultProxy(FaultProxyOptions.named("links"), eventLoops);
    private final PlatformStandin platform = new PlatformStandin(PlatformOptions.named(PLATFORM_NAME), eventLoops);
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandin> services = new LinkedHashMap<>();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<String, InstanceEntry> publishedServers = new LinkedHashMap<>();
    private final Path directory;
    private InetSocketAddress platformLink;

    /** Listening ports of an instance, the proxied addresses that others use, and the processes started for it. */
    private record Instance(
            DeploymentSpec.NodeSpec node,
            String ip,
            int callerPort,
            int controlPort,
            InetSocketAddress callerLink,
            InetSocketAddress controlLink,
            List<GatewayProcess> processes) {}

    private TestFleet(DeploymentSpec spec) throws IOException {
        this.spec = spec;
        this.directory = Files.createTempDirectory("fleet");
    }

    /** Starts a deployment with the given release note and waits until every instance is ready. */
    public static TestFleet start(DeploymentSpec spec, String note) throws IOException, InterruptedException {
        TestFleet fleet = new TestFleet(spec);
        try {
            fleet.startStandins(note);
            fleet.registerInstances();
            for (String name : fleet.instances.keySet()) {
                fleet.startInstance(name);
            }
            for (String name : fleet.instances.keySet()) {
                fleet.awaitReady(name);
            }
            return fleet;
        } catch (IOException | InterruptedException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns the release note of an example deployment. */
    public static String exampleNote(String deployment) throws IOException {
        return Files.readString(Path.of("..", "examples", deployment, "note.ini"), StandardCharsets.UTF_8);
    }

    private void startStandins(String note) throws IOException {
        platform.start();
        proxy.start();
        publish(note);
        platformLink = proxy.open(PLATFORM_NAME, platform.address());
        for (DeploymentSpec.NodeSpec node : spec.engines()) {
            EngineOptions options =
                    EngineOptions.named(node.name()).models(spec.model()).build();
            EngineStandin engine = new EngineStandin(options, eventLoops);
            engines.put(node.name(), engine);
            addServer(node, spec.modelPool(), engine);
        }
        for (DeploymentSpec.NodeSpec node : spec.services()) {
            ServiceStandin service = new ServiceStandin(ServiceOptions.named(node.name()), eventLoops);
            services.put(node.name(), service);
            addServer(node, spec.servicePool(), service);
        }
    }

    private void addServer(DeploymentSpec.NodeSpec node, String pool, HttpStandin server) throws IOException {
        server.start();
        String address = hostAndPort(proxy.open(node.name(), server.address()));
        InstanceEntry entry = new InstanceEntry(
                node.name(),
                InstanceEntry.SERVER,
                Optional.of(pool),
                node.region(),
                node.zone(),
                address,
                Optional.empty(),
                InstanceEntry.LIVE);
        publishedServers.put(node.name(), entry);
        platform.putInstance(entry);
    }

    /** Changes the state that the platform publishes for a backend server. */
    public void setServerState(String name, String state) {
        InstanceEntry entry = publishedServers.get(name);
        platform.putInstance(new InstanceEntry(
                name,
                entry.kind(),
                entry.pool(),
                entry.region(),
                entry.zone(),
                entry.address(),
                entry.control(),
                state));
    }

    private void registerInstances() throws IOException {
        int lastOctet = 10;
        for (DeploymentSpec.NodeSpec node : spec.instances()) {
            String ip = "127.0.1." + lastOctet++;
            int callerPort = Ports.allocate(ip);
            int controlPort = Ports.allocate(ip);
            InetSocketAddress callerLink = proxy.open(node.name(), new InetSocketAddress(ip, callerPort));
            InetSocketAddress controlLink =
                    proxy.open(controlTarget(node.name()), new InetSocketAddress(ip, controlPort));
            instances.put(
                    node.name(),
                    new Instance(node, ip, callerPort, controlPort, callerLink, controlLink, new ArrayList<>()));
            platform.putInstance(entry(node.name(), InstanceEntry.LIVE));
        }
        for (Instance source : instances.values()) {
            addSourceLinks(source);
        }
    }

    private InstanceEntry entry(String name, String state) {
        Instance instance = instances.get(name);
        return new InstanceEntry(
                name,
                InstanceEntry.INSTANCE,
                Optional.empty(),
                instance.node().region(),
                instance.node().zone(),
                hostAndPort(instance.callerLink()),
                Optional.of(hostAndPort(instance.controlLink())),
                state);
    }

    private void addSourceLinks(Instance source) throws IOException {
        InetAddress sourceAddress = InetAddress.getByName(source.ip());
        List<String> targets = new ArrayList<>(List.of(PLATFORM_NAME));
        targets.addAll(engines.keySet());
        targets.addAll(services.keySet());
        for (String other : instances.keySet()) {
            targets.add(other);
            targets.add(controlTarget(other));
        }
        for (String target : targets) {
            proxy.separateSource(target, sourceAddress, link(source.node().name(), target));
        }
    }

    /** Starts or restarts an instance without waiting until it is ready. */
    public void startInstance(String name) throws IOException {
        Instance instance = instances.get(name);
        Path settings = directory.resolve(name + ".ini");
        Files.writeString(settings, settings(instance));
        instance.processes().add(launcher.start(name, "serve", "--config", settings.toString()));
    }

    private String settings(Instance instance) {
        StringBuilder seeds = new StringBuilder();
        for (Instance other : instances.values()) {
            if (!other.equals(instance)) {
                seeds.append(seeds.isEmpty() ? "" : ", ").append(hostAndPort(other.controlLink()));
            }
        }
        return """
                [instance]
                name = %s
                region = %s
                zone = %s
                caller-address = %s:%d
                control-address = %s:%d
                [platform]
                addresses = %s
                [peers]
                seeds = %s
                [security]
                deployment-key = %s
                [log]
                level = info
                """.formatted(
                        instance.node().name(),
                        instance.node().region(),
                        instance.node().zone(),
                        instance.ip(),
                        instance.callerPort(),
                        instance.ip(),
                        instance.controlPort(),
                        hostAndPort(platformLink),
                        seeds,
                        DEPLOYMENT_KEY);
    }

    /** Waits until an instance reports that it is ready. */
    public void awaitReady(String name) throws InterruptedException {
        TestHttpClient http = new TestHttpClient();
        Wait.until(
                name + " is ready",
                () -> http.get(controlAddress(name), "/ready").statusCode() == 200);
    }

    /** Publishes a release note on the platform. */
    public void publish(String note) {
        platform.putConfig("note", note.getBytes(StandardCharsets.UTF_8));
    }

    /** Changes the state that the platform publishes for an instance. */
    public void setInstanceState(String name, String state) {
        platform.putInstance(entry(name, state));
    }

    /** Returns the process that was started last for an instance. */
    public GatewayProcess process(String name) {
        return instances.get(name).processes().getLast();
    }

    /** Returns the names of the instances in the order of the specification. */
    public List<String> instanceNames() {
        return List.copyOf(instances.keySet());
    }

    /** Returns the region of an instance. */
    public String region(String name) {
        return instances.get(name).node().region();
    }

    /** Returns the proxied address of an instance for callers. */
    public String callerAddress(String name) {
        return hostAndPort(instances.get(name).callerLink());
    }

    /** Returns the proxied control address of an instance. */
    public String controlAddress(String name) {
        return hostAndPort(instances.get(name).controlLink());
    }

    /** Returns the engine stand-ins by name. */
    public Map<String, EngineStandin> engines() {
        return engines;
    }

    /** Returns the service stand-ins by name. */
    public Map<String, ServiceStandin> services() {
        return services;
    }

    /** Returns the platform stand-in. */
    public PlatformStandin platform() {
        return platform;
    }

    /** Returns the fault proxy; {@link #link(String, String)} gives the names of its links. */
    public FaultProxy proxy() {
        return proxy;
    }

    /**
     * Returns the name of the link from an instance to a backend server, the platform or the caller port of an
     * instance.
     */
    public static String link(String source, String target) {
        return source + ">" + target;
    }

    /** Returns the name of an instance's control port as the target of a link. */
    public static String controlTarget(String instance) {
        return instance + "/control";
    }

    /** Blocks both directions of one instance's connections to another instance's caller and control ports. */
    public void blockLinks(String source, String target) {
        proxy.cut(link(source, target), LinkFaults.Cut.BOTH);
        proxy.cut(link(source, controlTarget(target)), LinkFaults.Cut.BOTH);
    }

    /** Blocks the connections of an instance to the platform. */
    public void isolateFromPlatform(String source) {
        proxy.cut(link(source, PLATFORM_NAME), LinkFaults.Cut.BOTH);
    }

    /** Blocks the connections between a region's instances and the platform and all instances of other regions. */
    public void isolateRegion(String region) {
        for (Instance instance : instances.values()) {
            String name = instance.node().name();
            if (instance.node().region().equals(region)) {
                isolateFromPlatform(name);
            }
            for (Instance other : instances.values()) {
                boolean crosses = instance.node().region().equals(region)
                        != other.node().region().equals(region);
                if (crosses) {
                    blockLinks(name, other.node().name());
                }
            }
        }
    }

    /** Removes all faults from all links. */
    public void clearFaults() {
        proxy.healAll();
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        launcher.close();
        proxy.close();
        engines.values().forEach(HttpStandin::close);
        services.values().forEach(HttpStandin::close);
        platform.close();
        HttpStandin.shutdownEventLoops(eventLoops);
    }
}
