package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.RequestKind;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.ServiceSpec;
import org.ibissaddle.route.WeightedService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Load pattern: prompts of 17,000 tokens (283 ms of prefill) beside prompts of 400 tokens on the same engines. */
class PrefillBudgetTest {
    private static final Region NORTH = new Region("north");
    private static final Zone ZONE = new Zone("north-a");
    private static final String ENGINES = "engines";
    private static final RequestDemand SHORT = new RequestDemand("m", 400, 40, List.of());
    private static final RequestDemand LONG = new RequestDemand("m", 17_000, 120, List.of());
    private static final long SHORT_OBJECTIVE_MS = 500;
    private static final long LONG_OBJECTIVE_MS = 1_500;

    private final BackendRegistry backends = new BackendRegistry(NORTH, Map.of(ZONE, NORTH));

    private static Route route(String name, int priority) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                RequestKind.STREAMING,
                5_000,
                SHORT_OBJECTIVE_MS,
                priority,
                List.of(new WeightedService(ENGINES, 1)),
                2,
                false,
                Set.of(),
                false);
    }

    @BeforeEach
    void configure() {
        ServiceSpec engines =
                new ServiceSpec(ENGINES, "/health", 100, 0, 0, Optional.of(new EngineSpec(64, 600_000, 6, 100_000, 0)));
        List<Route> routes = List.of(route("urgent", 0), route("usual", 1), route("late", 8));
        backends.apply(
                new CatalogEvent.ConfigurationPublished(
                        new Configuration(1, routes, List.of(engines), CallerLimits.DEFAULT)),
                0);
    }

    private BackendServer publish(String id) {
        ServerEntry entry = new ServerEntry(
                new ServerId(id),
                ENGINES,
                Address.parse("10.0.0.1:1000"),
                ZONE,
                64,
                false,
                0,
                OptionalLong.empty(),
                OptionalLong.empty());
        backends.apply(new CatalogEvent.ServerPublished(entry), 0);
        return backends.server(entry.id()).orElseThrow();
    }

    private ServerSelectionResult select(RequestDemand demand, RequestTerms terms, long nowMs) {
        return backends.selectServer(ENGINES, demand, terms, Set.of(), ColdRateShare.WHOLE, nowMs);
    }

    private BackendServer.RequestHandle send(RequestDemand demand, RequestTerms terms, long nowMs) {
        ServerSelectionResult.Selected found = (ServerSelectionResult.Selected) select(demand, terms, nowMs);
        return found.server().requestSent(demand, 0, 600_000, nowMs);
    }

    private static RequestTerms shortTerms(int priority, long nowMs) {
        return new RequestTerms(priority, nowMs, nowMs + SHORT_OBJECTIVE_MS);
    }

    private static RequestTerms longTerms(int priority, long nowMs) {
        return new RequestTerms(priority, nowMs, nowMs + LONG_OBJECTIVE_MS);
    }

    @Nested
    class Budget {
        /** Guards against several long prompts on each engine, behind which short ones miss their objective. */
        @Test
        void shouldHoldLongPromptsWhileShortOnesOfTheSamePriorityNeedTheEngines() {
            publish("a");
            publish("b");
            send(SHORT, shortTerms(1, 0), 0).ended();
            assertThat(send(LONG, longTerms(1, 0), 0).server())
                    .isNotSameAs(send(LONG, longTerms(1, 0), 0).server());

            assertThat(select(LONG, longTerms(1, 0), 0)).isInstanceOf(ServerSelectionResult.Held.class);
            assertThat(select(SHORT, shortTerms(1, 0), 0)).isInstanceOf(ServerSelectionResult.Selected.class);
        }

        /** Guards against idle engines: without short prompts nothing has to be protected. */
        @Test
        void shouldNotHoldLongPromptsWithoutShortOnes() {
            publish("a");
            send(LONG, longTerms(1, 0), 0);

            assertThat(select(LONG, longTerms(1, 0), 0)).isInstanceOf(ServerSelectionResult.Selected.class);
        }

        @Test
        void shouldForgetShortPromptsThatNoLongerArrive() {
            publish("a");
            send(SHORT, shortTerms(1, 0), 0).ended();
            send(LONG, longTerms(1, 11_000), 11_000);

            assertThat(select(LONG, longTerms(1, 11_000), 11_000)).isInstanceOf(ServerSelectionResult.Selected.class);
        }

        /** Guards against starving long prompts: one that would miss its own objective by waiting is sent. */
        @Test
        void shouldSendAHeldPromptInTimeForItsOwnObjective() {
            publish("a");
            send(SHORT, shortTerms(1, 0), 0).ended();
            send(LONG, longTerms(1, 0), 0);
            ServerSelectionResult.Held held = (ServerSelectionResult.Held) select(LONG, longTerms(1, 0), 0);

            assertThat(held.untilMs()).isBetween(600L, LONG_OBJECTIVE_MS - 600);
            assertThat(select(LONG, longTerms(1, 0), held.untilMs()))
                    .isInstanceOf(ServerSelectionResult.Selected.class);
        }

        /** Guards against holding back what needs little prefill: only the uncached part counts. */
        @Test
        void shouldSendALongPromptAtOnceWhereItIsCached() {
            RequestDemand cached = new RequestDemand("m", 17_000, 120, List.of(new PromptPart("shared", 16_500)));
            BackendServer server = publish("a");
            server.applyCacheEvent(new KvCacheEvent("m", "shared", 16_500));
            send(SHORT, shortTerms(1, 0), 0).ended();
            send(LONG, longTerms(1, 0), 0);

            assertThat(select(cached, longTerms(1, 0), 0)).isInstanceOf(ServerSelectionResult.Selected.class);
        }

        /** Guards against many instances that each count only their own prompts. */
        @Test
        void shouldCountThePrefillOfOtherInstances() {
            BackendServer server = publish("a");
            send(LONG, longTerms(1, 0), 0).ended();
            send(SHORT, shortTerms(1, 0), 0).ended();
            assertThat(select(LONG, longTerms(1, 0), 0)).isInstanceOf(ServerSelectionResult.Selected.class);
            server.updateLoad(new LoadReport(4, 1, 64), 0);

            assertThat(select(LONG, longTerms(1, 0), 0)).isInstanceOf(ServerSelectionResult.Held.class);
        }
    }

    @Nested
    class Priorities {
        @Test
        void shouldAdmitShortPromptsBeforeLongOnesOfTheSamePriority() {
            assertThat(backends.enginePriority(shortTerms(1, 0), 400, 0)).isEqualTo(1);
            assertThat(backends.enginePriority(longTerms(1, 0), 17_000, 0)).isEqualTo(2);
            assertThat(backends.enginePriority(longTerms(8, 0), 17_000, 0)).isEqualTo(9);
        }

        /** Guards against a long prompt that is treated like a less urgent route's. */
        @Test
        void shouldNotUseThePriorityOfAnotherRoute() {
            assertThat(backends.enginePriority(longTerms(0, 0), 17_000, 0)).isZero();
        }

        @Test
        void shouldRaiseALongPromptThatHasWaited() {
            assertThat(backends.enginePriority(longTerms(1, 0), 17_000, 500)).isEqualTo(1);
        }

        @Test
        void shouldLimitPrioritiesToThoseOfEngines() {
            assertThat(backends.enginePriority(longTerms(30, 0), 17_000, 0)).isEqualTo(9);
        }
    }
}
