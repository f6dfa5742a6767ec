package org.ibissaddle.proof.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Starts gateway processes from the built binary and kills all of them when closed. */
public final class GatewayLauncher implements AutoCloseable {
    private static final int MAX_PROCESSES = 64;
    private static final String FAST_STARTUP_OPTION = "-XX:TieredStopAtLevel=1";
    private static final Path BINARY = Path.of("..", "dist", "ibissaddle").toAbsolutePath();

    private final List<GatewayProcess> started = new ArrayList<>();

    /** Starts the binary with the given arguments, on the Java runtime that runs the tests. */
    public synchronized GatewayProcess start(String name, String... args) throws IOException {
        if (started.size() >= MAX_PROCESSES) {
            throw new IllegalStateException("a test must not start more than " + MAX_PROCESSES + " processes");
        }
        if (!Files.isExecutable(BINARY)) {
            throw new IllegalStateException(BINARY + " does not exist or is not executable; build it with ./run build");
        }
        List<String> command = new ArrayList<>(List.of(BINARY.toString()));
        command.addAll(Arrays.asList(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().put("IBISSADDLE_JAVA_OPTS", FAST_STARTUP_OPTION);
        GatewayProcess process = new GatewayProcess(name, builder.start());
        started.add(process);
        return process;
    }

    @Override
    public synchronized void close() {
        started.forEach(GatewayProcess::kill);
    }
}
