package org.ibissaddle.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.ibissaddle.standins.Ports;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Load pattern: a request is in progress when the platform stops the process. */
class GatewayCommandTest {
    private static final String IP = "127.0.0.1";

    @TempDir
    private Path folder;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private int callerPort;
    private Process process;
    private BufferedReader log;

    @BeforeEach
    void start() throws IOException {
        callerPort = Ports.allocate(IP);
        Path settings = folder.resolve("gateway.ini");
        Files.writeString(settings, """
                [instance]
                name = north-1
                region = north
                zone = north-a
                zones = north-a:north
                [gateway]
                caller-address = %1$s:%2$d
                readiness-address = %1$s:%3$d
                directory-address = %1$s:%3$d
                peer-address = %1$s:%4$d
                metrics-port = %5$d
                [platform]
                store-address = %1$s:%6$d
                [peers]
                seeds =
                [bounds]
                retry-ratio = 0.2
                retry-window-s = 10
                retry-slack = 50
                stop-grace-s = 8
                directory-ttl-s = 5
                """.formatted(
                IP, callerPort, Ports.allocate(IP), Ports.allocate(IP), Ports.allocate(IP), Ports.allocate(IP)));
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "gateway",
                        "--config",
                        settings.toString())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        log = process.inputReader(StandardCharsets.UTF_8);
    }

    @AfterEach
    void stop() {
        process.destroyForcibly();
        threads.close();
    }

    /** Waits for a line of the log; returns false if the process ends before. */
    private boolean awaitEvent(String event) {
        Iterator<String> lines = log.lines().iterator();
        while (lines.hasNext()) {
            if (lines.next().contains("event=" + event + " ")) {
                return true;
            }
        }
        return false;
    }

    /** Sends a request, which waits for a configuration since the store cannot be reached. */
    private Future<String> sendRequest() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
        socket.getOutputStream()
                .write("GET /x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 7\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
        return threads.submit(() -> {
            try (socket) {
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            }
        });
    }

    // Guards against requests in progress being lost because a second SIGTERM halted the draining process.
    @Test
    void shouldAnswerRequestsInProgressWhenTheStopSignalIsRepeated() throws Exception {
        assertThat(awaitEvent("started")).isTrue();
        Future<String> response = sendRequest();
        process.toHandle().destroy();
        assertThat(awaitEvent("stopping")).isTrue();

        process.toHandle().destroy();

        assertThat(awaitEvent("stop-signal-ignored")).as("process goes on").isTrue();
        assertThat(response.get()).startsWith("HTTP/1.1 503 ");
        assertThat(awaitEvent("stopped")).isTrue();
        assertThat(process.waitFor()).isZero();
    }

    // Guards against callers being cut off because a reload signal ended a process that already listened.
    @Test
    void shouldNotEndAtAReloadSignalDuringTheStart() throws Exception {
        awaitListening();
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();

        assertThat(awaitEvent("started")).isTrue();
        process.toHandle().destroy();
        assertThat(process.waitFor()).isZero();
    }

    private void awaitListening() {
        boolean listening = false;
        while (!listening) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
                listening = socket.isConnected();
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }
}
