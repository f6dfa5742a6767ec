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
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;

/**
 * A deployment for tests: stand-ins in the test's own process, entry instances as real processes, and a link with
 * faults of its own from each instance to the platform, to each other instance and to each backend server.
 *
 * <p>Each instance has an IP number of its own on the loopback interface. What it sends leaves from that number, so a
 * link knows who uses it.
 */
public final class TestFleet implements AutoCloseable {
    private static final String KEY = "deployment-key-of-the-tests";
    private static final String PLATFORM = "platform";

    private final DeploymentSpec spec;
    private final EventLoopGroup loops = HttpStandin.newEventLoops(4);
    private final Processes processes = new Processes();
    private final FaultProxy proxy = new FaultProxy(FaultProxyOptions.named("links"), loops);
    private final PlatformStandin platform = new PlatformStandin(PlatformOptions.named(PLATFORM), loops);
    private final Map<String, EngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandin> services = new LinkedHashMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, InstanceEntry> servers = new LinkedHashMap<>();
    private final Path folder;
    private InetSocketAddress platformLink;

    /** Addresses of one instance: its own, and the links that others use. */
    private record Member(
            DeploymentSpec.Place place,
            String ip,
            int callerPort,
            int controlPort,
            InetSocketAddress callerLink,
            InetSocketAddress controlLink,
            List<GatewayProcess> lives) {}

    private TestFleet(DeploymentSpec spec) throws IOException {
        this.spec = spec;
        this.folder = Files.createTempDirectory("fleet");
    }

    /** Starts a deployment with a release note and waits until every instance is ready. */
    public static TestFleet start(DeploymentSpec spec, String note) throws IOException, InterruptedException {
        TestFleet fleet = new TestFleet(spec);
        try {
            fleet.startStandins(note);
            fleet.openInstances();
            for (String name : fleet.members.keySet()) {
                fleet.startInstance(name);
            }
            for (String name : fleet.members.keySet()) {
                fleet.awaitReady(name);
            }
            return fleet;
        } catch (IOException | InterruptedException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns the text of an example's release note. */
    public static String exampleNote(String deployment) throws IOException {
        return Files.readString(Path.of("..", "examples", deployment, "note.ini"), StandardCharsets.UTF_8);
    }

    private void startStandins(String note) throws IOException {
        platform.start();
        proxy.start();
        publish(note);
        platformLink = proxy.open(PLATFORM, platform.address());
        for (DeploymentSpec.Place place : spec.engines()) {
            EngineOptions options =
                    EngineOptions.named(place.name()).models(spec.model()).build();
            EngineStandin engine = new EngineStandin(options, loops);
            engines.put(place.name(), engine);
            addServer(place, spec.modelPool(), engine);
        }
        for (DeploymentSpec.Place place : spec.services()) {
            ServiceStandin service = new ServiceStandin(ServiceOptions.named(place.name()), loops);
            services.put(place.name(), service);
            addServer(place, spec.servicePool(), service);
        }
    }

    private void addServer(DeploymentSpec.Place place, String pool, HttpStandin server) throws IOException {
        server.start();
        String address = text(proxy.open(place.name(), server.address()));
        InstanceEntry entry = new InstanceEntry(
                place.name(),
                InstanceEntry.SERVER,
                Optional.of(pool),
                place.region(),
                place.zone(),
                address,
                Optional.empty(),
                InstanceEntry.LIVE);
        servers.put(place.name(), entry);
        platform.putInstance(entry);
    }

    /** Changes the state of a backend server in the list of live ones. */
    public void listServer(String name, String state) {
        InstanceEntry last = servers.get(name);
        platform.putInstance(new InstanceEntry(
                name, last.kind(), last.pool(), last.region(), last.zone(), last.address(), last.control(), state));
    }

    private void openInstances() throws IOException {
        int number = 10;
        for (DeploymentSpec.Place place : spec.instances()) {
            String ip = "127.0.1." + number++;
            int caller = Ports.free(ip);
            int control = Ports.free(ip);
            InetSocketAddress callerLink = proxy.open(place.name(), new InetSocketAddress(ip, caller));
            InetSocketAddress controlLink = proxy.open(controlOf(place.name()), new InetSocketAddress(ip, control));
            members.put(
                    place.name(), new Member(place, ip, caller, control, callerLink, controlLink, new ArrayList<>()));
            platform.putInstance(entry(place.name(), InstanceEntry.LIVE));
        }
        for (Member from : members.values()) {
            splitLinks(from);
        }
    }

    private InstanceEntry entry(String name, String state) {
        Member member = members.get(name);
        return new InstanceEntry(
                name,
                InstanceEntry.INSTANCE,
                Optional.empty(),
                member.place().region(),
                member.place().zone(),
                text(member.callerLink()),
                Optional.of(text(member.controlLink())),
                state);
    }

    private void splitLinks(Member from) throws IOException {
        InetAddress source = InetAddress.getByName(from.ip());
        List<String> targets = new ArrayList<>(List.of(PLATFORM));
        targets.addAll(engines.keySet());
        targets.addAll(services.keySet());
        for (String other : members.keySet()) {
            targets.add(other);
            targets.add(controlOf(other));
        }
        for (String target : targets) {
            proxy.split(target, source, link(from.place().name(), target));
        }
    }

    /** Starts an instance (again), without waiting for it. */
    public void startInstance(String name) throws IOException {
        Member member = members.get(name);
        Path settings = folder.resolve(name + ".ini");
        Files.writeString(settings, settings(member));
        member.lives().add(processes.start(name, "serve", "--config", settings.toString()));
    }

    private String settings(Member member) {
        StringBuilder seeds = new StringBuilder();
        for (Member other : members.values()) {
            if (!other.equals(member)) {
                seeds.append(seeds.isEmpty() ? "" : ", ").append(text(other.controlLink()));
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
                        member.place().name(),
                        member.place().region(),
                        member.place().zone(),
                        member.ip(),
                        member.callerPort(),
                        member.ip(),
                        member.controlPort(),
                        text(platformLink),
                        seeds,
                        KEY);
    }

    /** Waits until an instance says that it is ready. */
    public void awaitReady(String name) throws InterruptedException {
        Http http = new Http();
        Wait.until(name + " is ready", () -> http.get(control(name), "/ready").statusCode() == 200);
    }

    /** Puts a release note on the platform. */
    public void publish(String note) {
        platform.putConfig("note", note.getBytes(StandardCharsets.UTF_8));
    }

    /** Changes the state of an instance in the list of live ones. */
    public void list(String name, String state) {
        platform.putInstance(entry(name, state));
    }

    /** Returns the process of an instance's current life. */
    public GatewayProcess process(String name) {
        return members.get(name).lives().getLast();
    }

    /** Returns the instances' names in the order of the specification. */
    public List<String> instances() {
        return List.copyOf(members.keySet());
    }

    /** Returns the region of an instance. */
    public String region(String name) {
        return members.get(name).place().region();
    }

    /** Returns where callers reach an instance. */
    public String caller(String name) {
        return text(members.get(name).callerLink());
    }

    /** Returns where operators reach an instance. */
    public String control(String name) {
        return text(members.get(name).controlLink());
    }

    /** Returns the engines by name. */
    public Map<String, EngineStandin> engines() {
        return engines;
    }

    /** Returns the plain services by name. */
    public Map<String, ServiceStandin> services() {
        return services;
    }

    /** Returns the platform. */
    public PlatformStandin platform() {
        return platform;
    }

    /** Returns the proxy; links are named {@link #link(String, String)}. */
    public FaultProxy proxy() {
        return proxy;
    }

    /** Names the link from an instance to a backend server, the platform, or another instance's caller port. */
    public static String link(String from, String to) {
        return from + ">" + to;
    }

    /** Names the control port of an instance as a target of links. */
    public static String controlOf(String instance) {
        return instance + "/control";
    }

    /** Cuts what one instance sends to another and to its control port, and the answers to it. */
    public void cut(String from, String to) {
        proxy.cut(link(from, to), LinkFaults.Cut.BOTH);
        proxy.cut(link(from, controlOf(to)), LinkFaults.Cut.BOTH);
    }

    /** Cuts an instance off from the platform. */
    public void cutPlatform(String from) {
        proxy.cut(link(from, PLATFORM), LinkFaults.Cut.BOTH);
    }

    /** Cuts a region off from the platform, all other regions and their servers. */
    public void cutRegion(String region) {
        for (Member one : members.values()) {
            String name = one.place().name();
            if (one.place().region().equals(region)) {
                cutPlatform(name);
            }
            for (Member other : members.values()) {
                boolean crosses = one.place().region().equals(region)
                        != other.place().region().equals(region);
                if (crosses) {
                    cut(name, other.place().name());
                }
            }
        }
    }

    /** Takes all faults off all links. */
    public void heal() {
        proxy.healAll();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        processes.close();
        proxy.close();
        engines.values().forEach(HttpStandin::close);
        services.values().forEach(HttpStandin::close);
        platform.close();
        HttpStandin.closeEventLoops(loops);
    }
}
