package org.ibissaddle.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ibissaddle.daemon.gateway.Gateway;
import org.ibissaddle.daemon.gateway.GatewaySettings;
import org.ibissaddle.daemon.gateway.GatewaySettingsReader;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.id.Zone;
import org.ibissaddle.platform.SampleMessages;
import org.ibissaddle.standins.Ports;

/**
 * Training run for class data sharing (CDS): briefly runs gateways of two regions on loopback and sends them requests,
 * so that the classes used at startup and by requests are archived for a faster startup.
 */
final class TrainCommand implements Command {
    private static final int ROUNDS = 100;
    /** Time for the gateways to discover each other and the store. */
    private static final long WARM_UP_MS = 1_200;

    @Override
    public String name() {
        return "train";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Briefly runs gateways to record the classes of the CDS archive that the build creates.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws CommandFailedException {
        try (SamplePlatform platform = new SamplePlatform(new Zone("north-a"))) {
            parseStartupOptions();
            List<Integer> ports = freePorts(8);
            GatewaySettings north = settings("north", platform, ports.subList(0, 4), ports.get(6));
            GatewaySettings south = settings("south", platform, ports.subList(4, 8), ports.get(2));
            try (Gateway northGateway = start(north);
                    Gateway southGateway = start(south)) {
                TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
                int successCount = sendAll(north) + sendAll(south);
                out.println("answers=" + successCount);
                southGateway.drain();
                northGateway.drain();
                return successCount == 0 ? 1 : 0;
            }
        } catch (SettingsException | IOException | ParseException e) {
            throw new CommandFailedException("training run failed: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static void parseStartupOptions() throws ParseException {
        Options options = new GatewayCommand().options();
        SettingsOption.file(DefaultParser.builder().get().parse(options, new String[] {"--config", "none"}));
    }

    private static GatewaySettings settings(String region, SamplePlatform platform, List<Integer> ports, int seed)
            throws SettingsException {
        String text =
                """
            [instance]
            name = %1$s
            region = %1$s
            zone = %1$s-a
            zones = north-a:north,south-a:south
            [gateway]
            caller-address = 127.0.0.1:%2$d
            readiness-address = 127.0.0.1:%3$d
            directory-address = 127.0.0.1:%3$d
            peer-address = 127.0.0.1:%4$d
            metrics-port = %5$d
            [platform]
            store-address = %6$s
            [peers]
            seeds = 127.0.0.1:%7$d
            [bounds]
            retry-ratio = 0.2
            retry-window-s = 10
            retry-slack = 10
            stop-grace-s = 1
            directory-ttl-s = 5
            """.formatted(region, ports.get(0), ports.get(1), ports.get(2), ports.get(3), platform.address(), seed);
        return GatewaySettingsReader.read("training", text);
    }

    private static Gateway start(GatewaySettings settings) throws IOException {
        return Gateway.start(
                settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), OutputStream.nullOutputStream());
    }

    private static int sendAll(GatewaySettings settings) throws IOException {
        int successCount = 0;
        for (int i = 0; i < ROUNDS; i++) {
            for (String request : SampleMessages.requests(i)) {
                successCount += send(settings.callerAddress().port(), request) ? 1 : 0;
            }
        }
        for (String question : SampleMessages.directoryRequests()) {
            send(settings.directoryAddress().port(), question);
        }
        return successCount;
    }

    private static boolean send(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return answer.startsWith("HTTP/1.1 200");
        }
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(Ports.allocate("127.0.0.1"));
        }
        return ports;
    }
}
