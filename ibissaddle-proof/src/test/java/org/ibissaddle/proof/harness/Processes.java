package org.ibissaddle.proof.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Starts processes of the binary and ends every one of them, by id, when closed. */
public final class Processes implements AutoCloseable {
    private static final int MAX_PROCESSES = 64;
    private static final String QUICK_START = "-XX:TieredStopAtLevel=1";
    private static final Path BINARY = Path.of("..", "dist", "ibissaddle").toAbsolutePath();

    private final List<GatewayProcess> started = new ArrayList<>();

    /** Starts the binary with arguments; its Java runtime is the one that runs the tests. */
    public synchronized GatewayProcess start(String name, String... args) throws IOException {
        if (started.size() >= MAX_PROCESSES) {
            throw new IllegalStateException("a test may start at most " + MAX_PROCESSES + " processes");
        }
        if (!Files.isExecutable(BINARY)) {
            throw new IllegalStateException(BINARY + " does not exist: build it with ./run build");
        }
        List<String> command = new ArrayList<>(List.of(BINARY.toString()));
        command.addAll(Arrays.asList(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().put("IBISSADDLE_JAVA_OPTS", QUICK_START);
        GatewayProcess process = new GatewayProcess(name, builder.start());
        started.add(process);
        return process;
    }

    @Override
    public synchronized void close() {
        started.forEach(GatewayProcess::kill);
    }
}
