package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EngineProcessTest {
    private static final String CRASHING_REQUEST = "{\"model\":\"m\",\"prompt\":\"some poison here\"}";

    /** Starts an engine that terminates its process on a crash, and prints its port. */
    static final class Main {
        public static void main(String[] args) throws IOException {
            EngineOptions options =
                    EngineOptions.named("eng-1").models("m@1").haltOnCrash(true).build();
            EngineStandin engine = new EngineStandin(options, HttpStandin.newEventLoops(1));
            engine.start();
            engine.setFaults(EngineFaults.none().withCrashOn("poison"));
            System.out.println(engine.address().getPort());
        }
    }

    @Test
    void shouldHaltProcessOnCrash() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
            int port = Integer.parseInt(output.readLine());
            StandinHttpClient httpClient =
                    new StandinHttpClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));

            assertThatThrownBy(() -> httpClient.send("POST", "/v1/completions", CRASHING_REQUEST))
                    .isInstanceOf(IOException.class);
            assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isEqualTo(137);
        } finally {
            process.destroyForcibly();
        }
    }
}
