package org.ibissaddle.proof.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** One process of the binary that a test has started. */
public final class GatewayProcess {
    private static final long EXIT_WAIT_S = 60;

    private final String name;
    private final Process process;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    GatewayProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        Thread.ofVirtual().start(this::readLines);
    }

    private void readLines() {
        try (BufferedReader reader = process.inputReader()) {
            reader.lines().forEach(lines::add);
        } catch (IOException | UncheckedIOException e) {
            lines.add("output ended: " + e.getMessage());
        }
    }

    /** Returns the lines that it has written so far. */
    public List<String> lines() {
        return List.copyOf(lines);
    }

    /** Tells whether it runs (or is paused). */
    public boolean alive() {
        return process.isAlive();
    }

    /** Stops it from running until {@link #resume()}. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets it run again. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Asks it to leave. */
    public void terminate() throws IOException, InterruptedException {
        signal("TERM");
    }

    /** Ends it at once. */
    public void kill() {
        process.destroyForcibly();
        try {
            awaitExit();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until it has ended and returns its exit code. */
    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_WAIT_S, TimeUnit.SECONDS)) {
            throw new AssertionError(name + " has not ended within " + EXIT_WAIT_S + " s");
        }
        return process.exitValue();
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    @Override
    public String toString() {
        return name + " " + lines;
    }
}
