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
import org.ibissaddle.proof.harness.Ports;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.FaultProxy;
import org.ibissaddle.standins.FaultProxyOptions;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.InstanceEntry;
import org.ibissaddle.standins.PlatformOptions;
import org.ibissaddle.standins.PlatformStandin;
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;
import org.ibissaddle.standins.StandinStartException;

/** Entry instances as real processes, stand-ins in this one, and a fault proxy before everything. */
final class Cluster implements AutoCloseable {
    static final String KEY = "0123456789abcdef0123456789abcdef";
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

    private final Path folder;
    private final EventLoopGroup loops = HttpStandin.newEventLoops(4);
    private final PlatformStandin platform = new PlatformStandin(PlatformOptions.named("platform"), loops);
    private final FaultProxy proxy = new FaultProxy(FaultProxyOptions.named("proxy"), loops);
    private final Map<String, Process> processes = new TreeMap<>();
    private final Map<String, Integer> control = new TreeMap<>();
    private final Map<String, Integer> direct = new TreeMap<>();
    private final Map<String, InetSocketAddress> callers = new TreeMap<>();
    private final List<ServiceStandin> services = new ArrayList<>();
    private final List<EngineStandin> engines = new ArrayList<>();
    private final OkHttpClient http = new OkHttpClient();

    Cluster(Path folder, int instances, int serviceCount, int engineCount) throws StandinStartException, IOException {
        this.folder = folder;
        platform.start();
        proxy.start();
        platform.putConfig("note", NOTE.getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < serviceCount; i++) {
            ServiceStandin service = new ServiceStandin(ServiceOptions.named("s" + i), loops);
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
                    loops);
            engine.start();
            engines.add(engine);
            addServer(engine, "engines");
        }
        for (int i = 0; i < instances; i++) {
            addInstance(String.valueOf((char) ('a' + i)));
        }
        for (String name : callers.keySet()) {
            start(name);
        }
        for (String name : callers.keySet()) {
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
                text(address),
                Optional.empty(),
                InstanceEntry.LIVE));
    }

    private void addInstance(String name) throws StandinStartException, IOException {
        int callerPort = Ports.allocate("127.0.0.1");
        int controlPort = Ports.allocate("127.0.0.1");
        InetSocketAddress proxied =
                proxy.open(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), callerPort));
        control.put(name, controlPort);
        direct.put(name, callerPort);
        callers.put(name, proxied);
        Files.writeString(folder.resolve(name + ".ini"), """
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
                        name, callerPort, controlPort, text(platform.address()), KEY));
        platform.putInstance(new InstanceEntry(
                name,
                InstanceEntry.INSTANCE,
                Optional.empty(),
                "north",
                "north-1",
                text(proxied),
                Optional.of("127.0.0.1:" + controlPort),
                InstanceEntry.LIVE));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Marks an instance as leaving in the platform's list. */
    void leave(String name) {
        platform.putInstance(new InstanceEntry(
                name,
                InstanceEntry.INSTANCE,
                Optional.empty(),
                "north",
                "north-1",
                text(callers.get(name)),
                Optional.of("127.0.0.1:" + control.get(name)),
                InstanceEntry.LEAVING));
    }

    /** Asks an instance which ones to use, first choice first. */
    List<String> ask(String name) {
        Request request = new Request.Builder()
                .url(control(name) + "/v1/ask")
                .post(RequestBody.create("{\"workspace\":\"w\"}", MediaType.get("application/json")))
                .build();
        List<String> names = new ArrayList<>();
        try (Response response = http.newCall(request).execute()) {
            new ObjectMapper()
                    .readTree(response.body().string())
                    .path("instances")
                    .forEach(one -> names.add(one.path("name").asText()));
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
                folder.resolve(name + ".ini").toString());
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().put("IBISSADDLE_JAVA_OPTS", "-XX:TieredStopAtLevel=1");
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    /** Waits until an instance is ready and knows its peers and all servers. */
    void awaitReady(String name, int peers) {
        Waiting.until(
                "instance " + name + " is ready",
                () -> get(control(name) + "/ready").isPresent()
                        && get(control(name) + "/status")
                                .filter(text -> text.contains("\"servers\":[{")
                                        && (peers == 0 || text.contains("\"peers\":[{")))
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

    /** Ends an instance at once. */
    synchronized void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /** Sends a signal to an instance. */
    synchronized void signal(String name, String signal) throws IOException, InterruptedException {
        String pid = Long.toString(processes.get(name).pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** Waits for the end of an instance. */
    int awaitExit(String name) throws InterruptedException {
        Process process = processes.get(name);
        if (!process.waitFor(120, TimeUnit.SECONDS)) {
            throw new AssertionError("instance " + name + " has not ended");
        }
        return process.exitValue();
    }

    List<String> instances() {
        return List.copyOf(callers.keySet());
    }

    String caller(String name) {
        return "http://" + text(callers.get(name));
    }

    String direct(String name) {
        return "http://127.0.0.1:" + direct.get(name);
    }

    String control(String name) {
        return "http://127.0.0.1:" + control.get(name);
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

    /** Makes a repeatable call. */
    boolean call(String name, String path) {
        Request request = new Request.Builder()
                .url(caller(name) + path)
                .header("X-Workspace", "w")
                .header("Connection", "close")
                .build();
        try (Response response = http.newCall(request).execute()) {
            return response.code() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Bytes of live objects of an instance, after a full collection. */
    long liveBytes(String name) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process histogram = new ProcessBuilder(
                        jcmd, Long.toString(processes.get(name).pid()), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        histogram.waitFor();
        String total = text.lines()
                .filter(line -> line.startsWith("Total"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(total.trim().split(" +", -1)[2]);
    }

    /** How often each key has arrived at any service. */
    Map<String, Integer> arrivals() {
        Map<String, Integer> all = new TreeMap<>();
        services.forEach(service -> service.arrivals().forEach((key, count) -> all.merge(key, count, Integer::sum)));
        return all;
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        proxy.close();
        services.forEach(HttpStandin::close);
        engines.forEach(HttpStandin::close);
        platform.close();
        HttpStandin.closeEventLoops(loops);
    }
}
