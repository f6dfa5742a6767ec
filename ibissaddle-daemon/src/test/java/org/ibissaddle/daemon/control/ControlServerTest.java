package org.ibissaddle.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.stream.Stream;
import org.ibissaddle.daemon.caller.RawHttpClient;
import org.ibissaddle.daemon.once.TicketIssuer;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.dispatch.AtMostOnceLedger;
import org.ibissaddle.dispatch.AtMostOnceLimits;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.standins.Ports;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.TicketCodec;
import org.ibissaddle.timeline.EventSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlServerTest {
    private static final int MAX_BODY_BYTES = 16 * 1024;

    private ControlServer server;
    private Address address;

    @BeforeEach
    void start() throws IOException {
        address = freeAddress();
        InstanceId id = new InstanceId("ub-1-a");
        Region region = new Region("Ulaanbaatar");
        Zone zone = new Zone("ub-1");
        Settings settings = new Settings(
                id,
                region,
                zone,
                freeAddress(),
                address,
                List.of(),
                List.of(),
                DeploymentKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8)),
                new Settings.Limits(1024, 1024, 1000),
                Level.INFO);
        InstanceView self =
                new InstanceView(id, java.util.Optional.empty(), region, zone, address, address, Health.LIVE, 0, 0);
        SharedState state = new SharedState(
                new FleetView(self, List.of(), List.of(), 0),
                new TimelineRecorder(
                        new EventSource(id, new Incarnation(1, 1), region, zone), System::currentTimeMillis));
        TicketIssuer ticketIssuer = new TicketIssuer(
                state,
                new AtMostOnceLedger(id, new Incarnation(1, 1), AtMostOnceLimits.DEFAULT),
                TicketCodec.withKey(settings.deploymentKey()),
                System::currentTimeMillis);
        server = ControlServer.start(
                settings,
                state,
                new MetricRegistry(),
                List.of(new DiscoveryRoute(state, ticketIssuer, System::currentTimeMillis)));
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private static Address freeAddress() throws IOException {
        return new Address("127.0.0.1", Ports.allocate("127.0.0.1"));
    }

    private RawHttpClient.RawResponse query(byte[] body) throws IOException {
        try (RawHttpClient client = new RawHttpClient(address)) {
            client.send("POST /v1/ask HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length + "\r\n\r\n");
            return client.send(body).answer();
        }
    }

    @Nested
    class Bodies {
        @Test
        void shouldRefuseBodyAboveLimit() throws IOException {
            RawHttpClient.RawResponse response = query(new byte[MAX_BODY_BYTES + 1]);

            assertThat(response.status()).isEqualTo(413);
            assertThat(response.headers()).containsEntry("x-ran", "not-run");
            assertThat(response.body()).contains("\"type\":\"body-too-large\"");
        }

        @Test
        void shouldWriteNothingToDisk() throws IOException {
            List<Path> before = temporaryFiles();
            try (RawHttpClient client = new RawHttpClient(address)) {
                client.send("POST /v1/ask HTTP/1.1\r\nHost: x\r\nContent-Length: " + MAX_BODY_BYTES + "\r\n\r\n");
                client.send(new byte[MAX_BODY_BYTES - 1]);
                assertThat(query("{}".getBytes(StandardCharsets.UTF_8)).status())
                        .isEqualTo(503);
                assertThat(before).containsAll(temporaryFiles());
                client.send(new byte[1]).answer();
                assertThat(before).containsAll(temporaryFiles());
            }
        }

        private static List<Path> temporaryFiles() throws IOException {
            try (Stream<Path> files = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
                return files.toList();
            }
        }
    }

    @Nested
    class Requests {
        @Test
        void shouldRefuseMalformedJson() throws IOException {
            RawHttpClient.RawResponse response = query("{\"workspace\":".getBytes(StandardCharsets.UTF_8));

            assertThat(response.status()).isEqualTo(400);
            assertThat(response.body()).contains("malformed-request");
        }

        @Test
        void shouldRefuseInvalidUtf8() throws IOException {
            assertThat(query(new byte[] {'{', '"', (byte) 0xC3, '"', '}'}).status())
                    .isEqualTo(400);
        }

        @Test
        void shouldRefuseUnknownRoute() throws IOException {
            try (RawHttpClient client = new RawHttpClient(address)) {
                RawHttpClient.RawResponse response =
                        client.send("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n").answer();

                assertThat(response.status()).isEqualTo(404);
                assertThat(response.body()).contains("unknown-route");
            }
        }
    }
}
