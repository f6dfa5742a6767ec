import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A gateway process, started with the run line of the deploy file. */
final class Gateway implements AutoCloseable {
    final String name;
    final int front = Http.freePort();
    final int ready = Http.freePort();
    final int control = Http.freePort();
    final int directory = Http.freePort();
    private final String region;
    private final Path folder;
    private Process process;

    Gateway(String name, String region, Path folder) {
        this.name = name;
        this.region = region;
        this.folder = folder;
    }

    /** Renders the template of the deploy file with values like those of a small deployment, and starts the process. */
    void start(int storePort, List<Gateway> seeds) throws IOException {
        String seedList =
                String.join(",", seeds.stream().map(s -> "127.0.0.1:" + s.control).toList());
        String template = Files.readString(Path.of("platform/settings.ini"));
        String zones = template.replaceAll("(?s).*(\\{\\{#zones}}.*\\{\\{/zones}}).*", "$1");
        Map<String, String> values = Map.ofEntries(
                Map.entry(zones, "zone-a:region-a,zone-b:region-b"),
                Map.entry("{{node}}", name),
                Map.entry("{{region}}", region),
                Map.entry("{{zone}}", region.replace("region", "zone")),
                Map.entry("{{listen.front}}", "127.0.0.1:" + front),
                Map.entry("{{listen.ready}}", "127.0.0.1:" + ready),
                Map.entry("{{listen.directory}}", "127.0.0.1:" + directory),
                Map.entry("{{listen.control}}", "127.0.0.1:" + control),
                Map.entry("{{portRange.0}}", Integer.toString(Http.freePort())),
                Map.entry("{{platform.address}}", "127.0.0.1:" + storePort),
                Map.entry("{{seeds}}", seedList),
                Map.entry("{{bounds.retryRatio}}", "0.2"),
                Map.entry("{{bounds.retryWindowS}}", "10"),
                Map.entry("{{bounds.retrySlack}}", "56"),
                Map.entry("{{bounds.graceS}}", "8"),
                Map.entry("{{bounds.ttl_max_s}}", "5"));
        String settings = template;
        for (Map.Entry<String, String> value : values.entrySet()) {
            settings = settings.replace(value.getKey(), value.getValue());
        }
        Path file = folder.resolve(name + ".conf");
        Files.writeString(file, settings);
        String run = Files.readString(Path.of("deploy/system.toml"))
                .lines()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"(.*)\"$", "$1")
                .replace("/etc/ibissaddle/node.conf", file.toString());
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.split(" "))));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("IBISSADDLE_BOOT", file.toString());
        process = builder.start();
    }

    void awaitReady() throws IOException, InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < untilNs) {
            try {
                if (Http.call(ready, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0], 1_000)
                                .status()
                        == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " isn't ready after 20 s");
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
