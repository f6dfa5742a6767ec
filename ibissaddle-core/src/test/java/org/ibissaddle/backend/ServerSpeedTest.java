package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.ServiceSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Load pattern: servers of one service that are slowed down several times for some hundred milliseconds. */
class ServerSpeedTest {
    private static final Region NORTH = new Region("north");
    private static final Zone ZONE = new Zone("north-a");
    private static final String ENGINES = "engines";
    private static final String LEDGER = "ledger";
    private static final RequestDemand SHORT = new RequestDemand("m", 400, 40, List.of());
    private static final OptionalInt SLOW = OptionalInt.of(400);
    private static final OptionalInt USUAL = OptionalInt.of(100);

    private final BackendRegistry backends = registry(new BackendRegistry(NORTH, Map.of(ZONE, NORTH)));

    private static BackendRegistry registry(BackendRegistry backends) {
        ServiceSpec engines =
                new ServiceSpec(ENGINES, "/health", 100, 0, 0, Optional.of(new EngineSpec(64, 300_000, 6, 100_000, 0)));
        ServiceSpec ledger = new ServiceSpec(LEDGER, "/health", 100, 0, 0, Optional.empty());
        backends.apply(
                new CatalogEvent.ConfigurationPublished(
                        new Configuration(1, List.of(), List.of(engines, ledger), CallerLimits.DEFAULT)),
                0);
        return backends;
    }

    private static BackendServer publish(BackendRegistry to, String id, String service) {
        ServerEntry entry = new ServerEntry(
                new ServerId(id),
                service,
                Address.parse("10.0.0.1:1000"),
                ZONE,
                64,
                false,
                0,
                OptionalLong.empty(),
                OptionalLong.empty());
        to.apply(new CatalogEvent.ServerPublished(entry), 0);
        return to.server(entry.id()).orElseThrow();
    }

    private BackendServer select(String service, long nowMs) {
        RequestDemand demand = service.equals(ENGINES) ? SHORT : RequestDemand.PLAIN;
        return ((ServerSelectionResult.Selected)
                        backends.selectServer(service, demand, Set.of(), ColdRateShare.WHOLE, nowMs))
                .server();
    }

    private void respond(BackendServer from, long tookMs, long nowMs) {
        BackendServer.RequestHandle request = from.requestSent(RequestDemand.PLAIN, 0, Long.MAX_VALUE, nowMs - tookMs);
        backends.recordFirstChunk(request, tookMs, nowMs);
        request.ended();
    }

    @Nested
    class Reports {
        /** Guards against ignoring the fourth figure: the slow server is the less loaded one. */
        @Test
        void shouldAvoidAServerThatReportsASlowdownForAboutASecond() {
            BackendServer slow = publish(backends, "a", ENGINES);
            BackendServer other = publish(backends, "b", ENGINES);
            slow.updateLoad(new LoadReport(0, 0, 64, SLOW), 10_000);
            other.updateLoad(new LoadReport(4, 0, 64, USUAL), 10_000);

            assertThat(select(ENGINES, 10_000)).isSameAs(other);
            assertThat(select(ENGINES, 10_600)).isSameAs(other);
            other.updateLoad(new LoadReport(4, 0, 64, USUAL), 13_000);
            assertThat(backends.slowdown(slow, 13_500)).isBetween(1.0, 1.15);
        }

        /** Guards against refusing requests when a whole region is slow. */
        @Test
        void shouldCompareServersThatAreAllSlow() {
            publish(backends, "a", ENGINES).updateLoad(new LoadReport(0, 0, 64, OptionalInt.of(1_000)), 0);
            BackendServer leastSlow = publish(backends, "b", ENGINES);
            leastSlow.updateLoad(new LoadReport(0, 0, 64, SLOW), 0);

            assertThat(select(ENGINES, 0)).isSameAs(leastSlow);
        }

        /** Guards against learning the speed of the service from the time in which one server is slow. */
        @Test
        void shouldNotAttributeAReportedSlowdownToTheService() {
            BackendServer server = publish(backends, "a", ENGINES);
            long usualMs = backends.prefillMs(ENGINES, 20_000);
            RequestDemand longPrompt = new RequestDemand("m", 20_000, 40, List.of());
            for (int i = 0; i < 50; i++) {
                server.updateLoad(new LoadReport(0, 0, 64, SLOW), i);
                BackendServer.RequestHandle request = server.requestSent(longPrompt, 0, Long.MAX_VALUE, i);
                backends.recordFirstChunk(request, 4 * 20_000 / 60, i);
                request.ended();
            }

            assertThat(backends.prefillMs(ENGINES, 20_000)).isBetween(320L, 340L);
            assertThat(usualMs).isZero();
        }
    }

    @Nested
    class Observations {
        /** Guards against equal treatment of plain servers of which one answers four times slower. */
        @Test
        void shouldSendFewerPlainRequestsToAServerThatRespondsSlowly() {
            BackendServer slow = publish(backends, "a", LEDGER);
            BackendServer fast = publish(backends, "b", LEDGER);
            for (int i = 0; i < 100; i++) {
                respond(slow, 400, 1_000 + i * 10);
                respond(fast, 100, 1_000 + i * 10);
            }
            fast.requestSent(RequestDemand.PLAIN, 0, Long.MAX_VALUE, 2_000);

            assertThat(select(LEDGER, 2_000)).isSameAs(fast);
            assertThat(backends.slowdown(slow, 6_000)).isBetween(0.99, 1.1);
        }

        /** Guards against a choice between idle servers that depends on one late reading of a response. */
        @Test
        void shouldNotJudgeAServerByOneResponse() {
            BackendServer server = publish(backends, "a", LEDGER);
            respond(publish(backends, "b", LEDGER), 5, 900);
            respond(server, 200, 1_000);

            assertThat(backends.slowdown(server, 1_000)).isEqualTo(1);
        }

        @Test
        void shouldNoticeLongGapsBetweenEvents() {
            BackendServer slow = publish(backends, "a", ENGINES);
            BackendServer usual = publish(backends, "b", ENGINES);
            for (int i = 0; i < 40; i++) {
                backends.recordEventGap(usual, 30, 1_000 + i * 30);
                backends.recordEventGap(usual, 30, 1_000 + i * 30);
                backends.recordEventGap(slow, 120, 1_000 + i * 30);
            }

            assertThat(backends.slowdown(slow, 2_200)).isGreaterThan(1.5);
            assertThat(backends.slowdown(usual, 2_200)).isEqualTo(1);
        }

        /** Guards against a server that hangs while its health checks report no load and the usual speed. */
        @Test
        void shouldNotBelieveReportsOfAServerWhoseRequestsMakeNoProgress() {
            BackendServer hanging = publish(backends, "a", ENGINES);
            BackendServer other = publish(backends, "b", ENGINES);
            BackendServer.RequestHandle request = hanging.requestSent(SHORT, 0, Long.MAX_VALUE, 0);
            hanging.updateLoad(new LoadReport(1, 0, 64, USUAL), 1_000);
            other.updateLoad(new LoadReport(5, 0, 64, USUAL), 1_000);

            assertThat(backends.slowdown(hanging, 1_000)).isGreaterThan(3);
            assertThat(select(ENGINES, 1_000)).isSameAs(other);
            request.ended();
            assertThat(backends.slowdown(hanging, 1_100)).isGreaterThan(2);
            assertThat(backends.slowdown(hanging, 6_000)).isLessThan(1.1);
        }
    }

    @Nested
    class Herding {
        /** Guards against all instances sending to the one server that every report calls the least loaded. */
        @Test
        void shouldSpreadInstancesWithTheSameReportsOverNearlyEqualServers() {
            Map<String, Integer> choices = new HashMap<>();
            for (int instance = 0; instance < 100; instance++) {
                BackendRegistry other =
                        registry(new BackendRegistry(NORTH, Map.of(ZONE, NORTH), new SplittableRandom(instance)));
                for (String id : List.of("a", "b", "c", "d", "e", "f")) {
                    publish(other, id, ENGINES).updateLoad(new LoadReport(id.equals("a") ? 10 : 12, 0, 64, USUAL), 0);
                }
                ServerSelectionResult.Selected found = (ServerSelectionResult.Selected)
                        other.selectServer(ENGINES, SHORT, Set.of(), ColdRateShare.WHOLE, 0);
                choices.merge(found.server().entry().id().name(), 1, Integer::sum);
            }

            assertThat(choices).hasSize(6);
            assertThat(choices.get("a")).isBetween(10, 50);
        }

        /** Guards against taking servers without a recent report for idle. */
        @Test
        void shouldNotPreferAServerBecauseItsLoadIsUnknown() {
            publish(backends, "unknown", ENGINES);
            publish(backends, "busy", ENGINES).updateLoad(new LoadReport(20, 0, 64, USUAL), 0);
            BackendServer lessBusy = publish(backends, "lessBusy", ENGINES);
            lessBusy.updateLoad(new LoadReport(10, 0, 64, USUAL), 0);

            assertThat(select(ENGINES, 0)).isSameAs(lessBusy);
        }
    }
}
