import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** One gateway, started as a process with the command of the deploy file. */
final class Gateway {
    private static final List<Process> STARTED = new ArrayList<>();

    final String name;
    final String host;
    final int basePort;
    private final Path settings;
    private final Path log;
    Process process;

    /** Ports: base + 1 callers, + 2 readiness, + 3 directory, + 4 other gateways, + 5 metrics. */
    Gateway(Path folder, String name, String host, int basePort, String text) throws IOException {
        this.name = name;
        this.host = host;
        this.basePort = basePort;
        this.settings = folder.resolve(name + ".conf");
        this.log = folder.resolve(name + ".log");
        Files.writeString(settings, text);
    }

    static String settings(
            String name, String region, String zone, String zones, String host, int base, String store, String seeds,
            String moreBounds) {
        return "[instance]\nname = " + name + "\nregion = " + region + "\nzone = " + zone + "\nzones = " + zones
                + "\n\n[gateway]\ncaller-address = " + host + ":" + (base + 1)
                + "\nreadiness-address = " + host + ":" + (base + 2)
                + "\ndirectory-address = " + host + ":" + (base + 3)
                + "\npeer-address = " + host + ":" + (base + 4)
                + "\nmetrics-port = " + (base + 5)
                + "\n\n[platform]\nstore-address = " + store
                + "\n\n[peers]\nseeds = " + seeds
                + "\n\n[bounds]\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 56\nstop-grace-s = 8\n"
                + "directory-ttl-s = 5\n" + moreBounds;
    }

    /** Starts the process in the repository with the run line of deploy/system.toml. */
    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("^run = \"", "")
                .replaceFirst("\"$", "")
                .replace("/etc/ibissaddle/node.conf", settings.toString());
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("IBISSADDLE_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
    }

    boolean isReady() {
        return Http.status(host, basePort + 2, "/readyz") == 200;
    }

    void awaitReady(long timeoutMs) throws InterruptedException {
        long untilMs = System.currentTimeMillis() + timeoutMs;
        while (!isReady()) {
            if (System.currentTimeMillis() > untilMs) {
                throw new IllegalStateException(name + " is not ready");
            }
            Thread.sleep(50);
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Ends all processes that were started. */
    static void endAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }
}
