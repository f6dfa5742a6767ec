package org.ibissaddle.proof.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A gateway process that a test has started. */
public final class GatewayProcess {
    private static final long EXIT_TIMEOUT_S = 60;

    private final String name;
    private final Process process;
    private final List<String> outputLines = new CopyOnWriteArrayList<>();

    GatewayProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        Thread.ofVirtual().start(this::readOutput);
    }

    private void readOutput() {
        try (BufferedReader reader = process.inputReader()) {
            reader.lines().forEach(outputLines::add);
        } catch (IOException | UncheckedIOException e) {
            outputLines.add("reading the output failed: " + e.getMessage());
        }
    }

    /** Returns the lines that the process has written to standard output and standard error so far. */
    public List<String> outputLines() {
        return List.copyOf(outputLines);
    }

    /** Returns whether the process exists, running or paused. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Suspends the process with SIGSTOP until {@link #resume()}. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes the suspended process with SIGCONT. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Requests a graceful shutdown with SIGTERM. */
    public void terminate() throws IOException, InterruptedException {
        signal("TERM");
    }

    /** Kills the process and waits until it has exited. */
    public void kill() {
        process.destroyForcibly();
        try {
            awaitExit();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the process has exited and returns its exit code. */
    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError(name + " did not exit within " + EXIT_TIMEOUT_S + " s");
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
        return name + " " + outputLines;
    }
}
