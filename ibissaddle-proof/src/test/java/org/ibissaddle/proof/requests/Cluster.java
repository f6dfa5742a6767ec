package org.ibissaddle.proof.requests;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.FaultProxy;
import org.ibissaddle.standins.FaultProxyOptions;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.InstanceEntry;
import org.ibissaddle.standins.PlatformOptions;
import org.ibissaddle.standins.PlatformStandin;
import org.ibissaddle.standins.Ports;
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;
import org.ibissaddle.standins.StandinStartException;

/**
 * Instances in separate processes, stand-ins in the test's process, and a fault proxy in front of instances and
 * servers.
 */
final class Cluster implements AutoCloseable {
    static final String DEPLOYMENT_KEY = "0123456789abcdef0123456789abcdef";
    private static final String NOTE = """
            [note]
            number = 1
            [region north]
            [zone north-1]
            region = north
            [pool engines]
            kind = model
            models = m@1
            [pool ledger]
            kind = service
            [workspace w]
            requests-per-second = 100000
            [route stock]
            pool = ledger
            method = GET
            path = /stock
            repeatable = true
            [route buy]
            pool = ledger
            method = POST
            path = /buy
            """;

    private final Path directory;
    private final EventLoopGroup eventLoops = HttpStandin.newEventLoops(4);
    private final PlatformStandin platform = new PlatformStandin(PlatformOptions.named("platform"), eventLoops);
    private final FaultProxy proxy = new FaultProxy(FaultProxyOptions.named("proxy"), eventLoops);
    private final Map<String, Process> processes = new TreeMap<>();
    private final Map<String, Integer> controlPorts = new TreeMap<>();
    private final Map<String, Integer> callerPorts = new TreeMap<>();
    private final Map<String, InetSocketAddress> proxiedAddresses = new TreeMap<>();
    private final List<ServiceStandin> services = new ArrayList<>();
    private final List<EngineStandin> engines = new ArrayList<>();
    private final OkHttpClient http = new OkHttpClient();

    Cluster(Path directory, int instances, int serviceCount, int engineCount)
            throws StandinStartException, IOException {
        this.directory = directory;
        platform.start();
        proxy.start();
        platform.putConfig("note", NOTE.getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < serviceCount; i++) {
            ServiceStandin service = new ServiceStandin(ServiceOptions.named("s" + i), eventLoops);
            service.start();
            services.add(service);
            addServer(service, "ledger");
        }
        for (int i = 0; i < engineCount; i++) {
            EngineStandin engine = new EngineStandin(
                    EngineOptions.named("e" + i)
                            .models("m@1")
                            .stepMicros(1_000, 20)
                            .maxBatch(64)
                            .build(),
                    eventLoops);
            engine.start();
            engines.add(engine);
            addServer(engine, "engines");
        }
        for (int i = 0; i < instances; i++) {
            addInstance(String.valueOf((char) ('a' + i)));
        }
        for (String name : proxiedAddresses.keySet()) {
            start(name);
        }
        for (String name : proxiedAddresses.keySet()) {
            awaitReady(name, instances - 1);
        }
    }

    private void addServer(HttpStandin server, String pool) throws StandinStartException {
        InetSocketAddress address = proxy.open(server.name(), server.address());
        platform.putInstance(new InstanceEntry(
                server.name(),
                InstanceEntry.SERVER,
                Optional.of(pool),
                "north",
                "north-1",
                hostAndPort(address),
                Optional.empty(),
                InstanceEntry.LIVE));
    }

    private void addInstance(String name) throws StandinStartException, IOException {
        int callerPort = Ports.allocate("127.0.0.1");
        int controlPort = Ports.allocate("127.0.0.1");
        InetSocketAddress proxiedAddress =
                proxy.open(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), callerPort));
        controlPorts.put(name, controlPort);
        callerPorts.put(name, callerPort);
        proxiedAddresses.put(name, proxiedAddress);
        Files.writeString(directory.resolve(name + ".ini"), """
                [instance]
                name = %s
                region = north
                zone = north-1
                caller-address = 127.0.0.1:%d
                control-address = 127.0.0.1:%d
                [platform]
                addresses = %s
                [security]
                deployment-key = %s
                [log]
                level = warning
                """.formatted(
                        name, callerPort, controlPort, hostAndPort(platform.address()), DEPLOYMENT_KEY));
        platform.putInstance(new InstanceEntry(
                name,
                InstanceEntry.INSTANCE,
                Optional.empty(),
                "north",
                "north-1",
                hostAndPort(proxiedAddress),
                Optional.of("127.0.0.1:" + controlPort),
                InstanceEntry.LIVE));
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Publishes the state {@code LEAVING} of an instance on the platform. */
    void markLeaving(String name) {
        platform.putInstance(new InstanceEntry(
                name,
                InstanceEntry.INSTANCE,
                Optional.empty(),
                "north",
                "north-1",
                hostAndPort(proxiedAddresses.get(name)),
                Optional.of("127.0.0.1:" + controlPorts.get(name)),
                InstanceEntry.LEAVING));
    }

    /**
     * Queries the discovery endpoint of an instance; returns the names of the instances to use, most preferred first.
     */
    List<String> discoverInstances(String name) {
        Request request = new Request.Builder()
                .url(controlUrl(name) + "/v1/ask")
                .post(RequestBody.create("{\"workspace\":\"w\"}", MediaType.get("application/json")))
                .build();
        List<String> names = new ArrayList<>();
        try (Response response = http.newCall(request).execute()) {
            new ObjectMapper()
                    .readTree(response.body().string())
                    .path("instances")
                    .forEach(instance -> names.add(instance.path("name").asText()));
            return names;
        } catch (IOException e) {
            return names;
        }
    }

    /** Starts the process of an instance. */
    synchronized void start(String name) throws IOException {
        Path root = Path.of(System.getProperty("user.dir")).getParent();
        ProcessBuilder builder = new ProcessBuilder(
                root.resolve("dist/ibissaddle").toString(),
                "serve",
                "--config",
                directory.resolve(name + ".ini").toString());
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().put("IBISSADDLE_JAVA_OPTS", "-XX:TieredStopAtLevel=1");
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    /** Waits until an instance is ready and lists a backend server and, unless {@code peers} is 0, a peer. */
    void awaitReady(String name, int peers) {
        Polling.until(
                "instance " + name + " is ready",
                () -> get(controlUrl(name) + "/ready").isPresent()
                        && get(controlUrl(name) + "/status")
                                .filter(status -> status.contains("\"servers\":[{")
                                        && (peers == 0 || status.contains("\"peers\":[{")))
                                .isPresent());
    }

    Optional<String> get(String url) {
        try (Response response =
                http.newCall(new Request.Builder().url(url).build()).execute()) {
            return response.code() == 200 ? Optional.of(response.body().string()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Kills the process of an instance and waits until it has exited. */
    synchronized void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /** Sends a signal to the process of an instance. */
    synchronized void signal(String name, String signal) throws IOException, InterruptedException {
        String pid = Long.toString(processes.get(name).pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** Waits until the process of an instance has exited and returns its exit code. */
    int awaitExit(String name) throws InterruptedException {
        Process process = processes.get(name);
        if (!process.waitFor(120, TimeUnit.SECONDS)) {
            throw new AssertionError("instance " + name + " did not exit within 120 s");
        }
        return process.exitValue();
    }

    List<String> instanceNames() {
        return List.copyOf(proxiedAddresses.keySet());
    }

    String callerUrl(String name) {
        return "http://" + hostAndPort(proxiedAddresses.get(name));
    }

    String directUrl(String name) {
        return "http://127.0.0.1:" + callerPorts.get(name);
    }

    String controlUrl(String name) {
        return "http://127.0.0.1:" + controlPorts.get(name);
    }

    FaultProxy proxy() {
        return proxy;
    }

    PlatformStandin platform() {
        return platform;
    }

    List<ServiceStandin> services() {
        return services;
    }

    List<EngineStandin> engines() {
        return engines;
    }

    /** Sends an idempotent call; returns whether it succeeded. */
    boolean callIdempotent(String name, String path) {
        Request request = new Request.Builder()
                .url(callerUrl(name) + path)
                .header("X-Workspace", "w")
                .header("Connection", "close")
                .build();
        try (Response response = http.newCall(request).execute()) {
            return response.code() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns the total size of the live objects of an instance in bytes; the histogram triggers a full garbage
     * collection.
     */
    long liveBytes(String name) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process histogram = new ProcessBuilder(
                        jcmd, Long.toString(processes.get(name).pid()), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String output = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        histogram.waitFor();
        String totalLine = output.lines()
                .filter(line -> line.startsWith("Total"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(totalLine.trim().split(" +", -1)[2]);
    }

    /** Returns how many times the services have run each key. */
    Map<String, Integer> executionCounts() {
        Map<String, Integer> counts = new TreeMap<>();
        services.forEach(
                service -> service.executionCounts().forEach((key, count) -> counts.merge(key, count, Integer::sum)));
        return counts;
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        proxy.close();
        services.forEach(HttpStandin::close);
        engines.forEach(HttpStandin::close);
        platform.close();
        HttpStandin.shutdownEventLoops(eventLoops);
    }
}
